//! Replacing members never leaves the group in a state that tolerated losses end for good.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use group::GroupStrength;
use group::MemberView;
use group::RepairPolicy;
use group::instance_id;
use group::instance_ip;
use model::ids::InstanceId;
use quorum::MemberChange;
use quorum::Membership;
use quorum::QuorumTerms;

/// Machines beside the voters at the start.
const SPARE_MACHINES: u8 = 2;
const HEARD_SILENCE: Duration = Duration::from_millis(80);
const WIPED_SILENCE: Duration = Duration::from_millis(500);
const CUT_SILENCE: Duration = Duration::from_secs(10);

/// A machine, and the identity of the disk that it has.
#[derive(Debug)]
struct Machine {
    last: u8,
    directory_id: u32,
    running: bool,
    cut_off: bool,
    /// Number of disks that it has lost and that the group has not replaced yet.
    unhealed: usize,
    /// Whether it has started with an empty disk and has not caught up yet.
    newcomer: bool,
}

impl Machine {
    fn instance(&self) -> InstanceId {
        let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, self.last));
        instance_id(ip, self.directory_id)
    }

    const fn is_connected(&self) -> bool {
        self.running && !self.cut_off
    }
}

/// A group whose members follow the repair policy; changes of members take no time.
#[derive(Debug)]
struct RepairModel {
    /// Losses that the group tolerates at once.
    tolerated_losses: u8,
    machines: Vec<Machine>,
    membership: Membership,
    next_directory_id: u32,
    /// Number of unhealed losses whose successors have caught up; as many more may be lost.
    caught_up: usize,
    /// Whether the leader has taken office just now.
    newly_elected: bool,
    history: Vec<String>,
}

impl RepairModel {
    fn new(tolerated_losses: u8) -> Self {
        let voters = 2 * tolerated_losses + 1;
        let machines: Vec<Machine> = (1..=voters + SPARE_MACHINES)
            .map(|last| Machine {
                last,
                directory_id: 0,
                running: last <= voters,
                cut_off: false,
                unhealed: 0,
                newcomer: false,
            })
            .collect();
        let initial: Vec<InstanceId> = machines[..usize::from(voters)]
            .iter()
            .map(Machine::instance)
            .collect();
        Self {
            tolerated_losses,
            machines,
            membership: Membership::initial(&initial),
            next_directory_id: 1,
            caught_up: 0,
            newly_elected: false,
            history: Vec::new(),
        }
    }

    fn run_event(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let position = choices.int_in_range(0..=self.machines.len() - 1)?;
        let event = choices.int_in_range(0..=11)?;
        let may_lose = self.unhealed() < usize::from(self.tolerated_losses);
        let machine = &mut self.machines[position];
        match event {
            0 if machine.running && may_lose => {
                self.history.push(format!("wipe {}", machine.last));
                machine.directory_id = self.next_directory_id;
                machine.unhealed += 1;
                machine.newcomer = true;
                self.next_directory_id += 1;
            }
            1 if machine.running && may_lose => {
                self.history.push(format!("remove {}", machine.last));
                machine.running = false;
                machine.unhealed += 1;
            }
            2 if !machine.running && machine.unhealed == 0 => {
                self.history.push(format!("add {}", machine.last));
                machine.running = true;
                machine.newcomer = true;
                machine.directory_id = self.next_directory_id;
                self.next_directory_id += 1;
            }
            // A machine that is cut off for long looks like a lost one.
            3 => {
                machine.cut_off = !machine.cut_off;
                let word = if machine.cut_off { "cut" } else { "join" };
                self.history.push(format!("{word} {}", machine.last));
            }
            4 => self.catch_up(position),
            5 => self.newly_elected = !self.newly_elected,
            _ => self.run_leader(),
        }
        self.mark_healed();
        Ok(())
    }

    /// Counts the lost disks that the group has not replaced yet.
    fn unhealed(&self) -> usize {
        self.machines.iter().map(|machine| machine.unhealed).sum()
    }

    /// Ends the time after which the loss that a waiting learner makes good no longer counts.
    fn catch_up(&mut self, position: usize) {
        let unhealed = self.unhealed();
        let machine = &mut self.machines[position];
        let member = self.membership.member(machine.instance());
        let is_learner = member.is_some_and(|member| !member.voter);
        if machine.newcomer && machine.is_connected() && is_learner && self.caught_up < unhealed {
            machine.newcomer = false;
            self.caught_up += 1;
            self.history.push(format!("caught up {}", machine.last));
        }
    }

    fn mark_healed(&mut self) {
        let unhealed_before = self.unhealed();
        let is_complete = self.membership.voters().count() >= self.policy().target_voters;
        let voters: BTreeSet<InstanceId> = self.membership.voters().collect();
        for machine in &mut self.machines {
            let own = machine.running.then(|| machine.instance());
            let has_phantom = voters.iter().any(|&voter| {
                instance_ip(voter) == instance_ip(machine.instance()) && Some(voter) != own
            });
            if is_complete && !has_phantom {
                machine.unhealed = 0;
            }
        }
        let healed = unhealed_before - self.unhealed();
        self.caught_up = self.caught_up.saturating_sub(healed);
    }

    fn connected(&self) -> BTreeSet<InstanceId> {
        let connected = self
            .machines
            .iter()
            .filter(|machine| machine.is_connected());
        connected.map(Machine::instance).collect()
    }

    /// Lets a leader, if one can be elected, make the next change of members.
    fn run_leader(&mut self) {
        let connected = self.connected();
        let leader = self
            .membership
            .voters()
            .find(|voter| connected.contains(voter));
        let Some(leader) = leader else { return };
        if !self.has_quorum(&self.membership, |voter| connected.contains(&voter)) {
            return;
        }
        let joining = connected
            .iter()
            .find(|&&instance| self.membership.member(instance).is_none());
        let change = joining
            .map(|&instance| MemberChange::AddLearner {
                instance,
                folder: instance,
            })
            .or_else(|| self.repair_step(leader))
            .or_else(|| self.promotion(&connected));
        let Some(change) = change else { return };
        let Ok(next) = self.membership.with_change(change) else {
            return;
        };
        let promotes_absent =
            matches!(change, MemberChange::Promote(learner) if !connected.contains(&learner));
        if self.has_quorum(&next, |voter| connected.contains(&voter)) && !promotes_absent {
            self.history.push(format!("{change:?}"));
            self.membership = next;
        }
    }

    fn policy(&self) -> RepairPolicy {
        RepairPolicy::new(usize::from(self.tolerated_losses))
    }

    fn repair_step(&self, leader: InstanceId) -> Option<MemberChange> {
        self.policy().next_step(leader, &self.views())
    }

    fn views(&self) -> Vec<MemberView> {
        let connected = self.connected();
        let members = self.membership.members().iter();
        members
            .map(|member| {
                let heard = !self.newly_elected || connected.contains(&member.instance);
                MemberView {
                    instance: member.instance,
                    voter: member.voter,
                    silence: if heard {
                        self.silence(member.instance)
                    } else {
                        Duration::ZERO
                    },
                    heard,
                    leaving: false,
                }
            })
            .collect()
    }

    /// Returns the leader that the connected members can elect.
    fn leader(&self) -> Option<InstanceId> {
        let connected = self.connected();
        let is_connected = |voter: InstanceId| connected.contains(&voter);
        let leader = self.membership.voters().find(|&voter| is_connected(voter));
        leader.filter(|_| self.has_quorum(&self.membership, is_connected))
    }

    /// Returns whether voters are a quorum once it is known which disks were lost at an address
    /// that runs.
    fn has_quorum(&self, of: &Membership, agrees: impl Fn(InstanceId) -> bool) -> bool {
        let terms = QuorumTerms {
            rule: self.policy().quorum_rule(),
            left_out: self.known_losses(of),
        };
        terms.has_quorum(of, agrees)
    }

    /// Returns the voters at whose address another identity runs.
    fn known_losses(&self, of: &Membership) -> BTreeSet<InstanceId> {
        let is_replaced = |voter: InstanceId| {
            let mut machines = self.machines.iter();
            machines.any(|machine| {
                let instance = machine.instance();
                machine.running && instance_ip(instance) == instance_ip(voter) && instance != voter
            })
        };
        of.voters().filter(|&voter| is_replaced(voter)).collect()
    }

    /// Fails if a change would be acknowledged although disks that may be lost later, those whose
    /// successors have caught up aside, could leave the group without a quorum for ever.
    fn check_acknowledgement(&self) {
        let Some(leader) = self.leader() else { return };
        let tolerated = usize::from(self.tolerated_losses);
        let strength = GroupStrength::new(&self.membership, leader, &self.views(), &self.policy());
        if strength.tolerates(tolerated) {
            self.check_losses(tolerated + self.caught_up - self.unhealed());
        }
    }

    fn silence(&self, instance: InstanceId) -> Duration {
        let mut machines = self.machines.iter();
        let machine =
            machines.find(|machine| instance_ip(machine.instance()) == instance_ip(instance));
        let machine = machine.unwrap();
        let silence = if machine.is_connected() {
            HEARD_SILENCE
        } else {
            CUT_SILENCE
        };
        let is_current = machine.instance() == instance;
        silence
            + if is_current {
                Duration::ZERO
            } else {
                WIPED_SILENCE
            }
    }

    /// Returns the promotion that replicas make by themselves up to the target size.
    fn promotion(&self, connected: &BTreeSet<InstanceId>) -> Option<MemberChange> {
        if self.membership.voters().count() >= self.policy().target_voters {
            return None;
        }
        let mut learners = self
            .membership
            .members()
            .iter()
            .filter(|member| !member.voter && connected.contains(&member.instance));
        let learner = learners.next()?;
        Some(MemberChange::Promote(learner.instance))
    }

    /// Fails if disks that may still be lost could leave the group without a quorum for ever.
    fn check(&self) {
        self.check_losses(usize::from(self.tolerated_losses) - self.unhealed());
    }

    fn check_losses(&self, further_losses: usize) {
        let disks: BTreeSet<InstanceId> = self
            .machines
            .iter()
            .filter(|machine| machine.running)
            .map(Machine::instance)
            .collect();
        let voters = self.membership.voters();
        let voters_with_disk = voters.filter(|voter| disks.contains(voter)).count();
        // The lost disks are known to be once their machines are back.
        let known_losses = self.known_losses(&self.membership).len() + further_losses;
        let rule = self.policy().quorum_rule();
        let voters = self.membership.voters().count();
        let quorum_size = rule.quorum_size(voters) - known_losses.min(rule.spares(voters));
        assert!(
            voters_with_disk >= quorum_size + further_losses,
            "{further_losses} more disks may be lost: {self:#?}"
        );
    }
}

#[test]
fn no_replacement_leaves_fewer_disks_than_the_tolerated_losses_and_a_quorum() {
    arbtest(|choices| {
        let mut model = RepairModel::new(choices.int_in_range(1..=3)?);
        while !choices.is_empty() {
            model.run_event(choices)?;
            model.check();
        }
        Ok(())
    })
    .budget_ms(2_000);
}

#[test]
fn no_change_is_acknowledged_beside_a_lost_voter_whose_successor_has_caught_up() {
    arbtest(|choices| {
        let mut model = RepairModel::new(choices.int_in_range(1..=3)?);
        while !choices.is_empty() {
            model.run_event(choices)?;
            model.check_acknowledgement();
        }
        Ok(())
    })
    .budget_ms(2_000);
}

#[test]
fn no_change_is_acknowledged_beside_a_gone_voter_after_a_cut_off_one_was_replaced_instead() {
    let mut model = RepairModel::new(2);
    let (gone, cut_off, successor) = (3, 4, 5);
    model.machines[gone].running = false;
    model.machines[gone].unhealed = 1;
    model.machines[successor].running = true;
    model.machines[successor].newcomer = true;
    model.run_leader();
    model.catch_up(successor);
    model.machines[cut_off].cut_off = true;
    model.run_leader();
    model.run_leader();
    model.mark_healed();
    model.check_acknowledgement();
}
