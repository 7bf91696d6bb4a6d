//! The seeded schedule: series of stops, signals, restarts and changes that overlap.

use std::time::Duration;

use crate::deployment::CONTROL_COUNT;
use crate::deployment::NODE_COUNT;
use crate::history::ProcessEvent;
use crate::history::ProcessName;
use crate::random::SeededRandom;
use crate::server::ServerMode;

/// Time over which series begin.
const SCHEDULE_TIME: Duration = Duration::from_secs(14);

/// What a signal goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ActionTarget {
    Process(ProcessName),
    /// The control instance that leads when the time has come.
    Leader,
}

/// Something that the soak does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SoakAction {
    /// Sends the signal that goes with an event.
    Signal(ActionTarget, ProcessEvent),
    /// Kills a process that is still there after the grace period.
    EndGrace(ProcessName),
    Freeze(ActionTarget, Duration),
    Thaw(ProcessName),
    /// Kills all control instances.
    KillGroup,
    Start(ProcessName),
    /// Sends changes on the same base, to these versions above it.
    Change(Vec<u64>),
    SetMode(u8, ServerMode),
    Drain(u8),
}

/// Draws a schedule.
#[derive(Debug)]
pub(crate) struct ScheduleBuilder {
    random: SeededRandom,
    actions: Vec<(Duration, SoakAction)>,
}

impl ScheduleBuilder {
    /// Returns the actions that follow from a generator, with their times from the start.
    pub(crate) fn build(random: SeededRandom) -> Vec<(Duration, SoakAction)> {
        let mut builder = Self {
            random,
            actions: Vec::new(),
        };
        let mut at = builder.random.millis(300, 1_500);
        builder.add_node_stop(at);
        while at < SCHEDULE_TIME {
            at += builder.random.millis(100, 1_800);
            builder.add_series(at);
        }
        // Drawn last, so that what a seed has brought before stays.
        if builder.random.chance(30) {
            builder.add_group_kill();
        }
        builder.actions
    }

    fn add(&mut self, at: Duration, action: SoakAction) {
        self.actions.push((at, action));
    }

    fn node(&mut self) -> ActionTarget {
        ActionTarget::Process(ProcessName::Node(self.random.number(NODE_COUNT)))
    }

    fn control(&mut self) -> ActionTarget {
        if self.random.chance(40) {
            return ActionTarget::Leader;
        }
        ActionTarget::Process(ProcessName::Control(self.random.number(CONTROL_COUNT)))
    }

    fn add_series(&mut self, at: Duration) {
        match self.random.between(0, 14) {
            0..=3 => self.add_node_stop(at),
            4 | 5 => self.add_rolling_stop(at),
            6 => {
                let node = self.node();
                self.add(at, SoakAction::Signal(node, ProcessEvent::Killed));
            }
            7 => {
                let (node, time) = (self.node(), self.random.millis(300, 3_000));
                self.add(at, SoakAction::Freeze(node, time));
            }
            8 | 9 => self.add_control_disturbance(at),
            10 | 11 => self.add_changes(at),
            12 => {
                let server = self.random.number(NODE_COUNT);
                self.add(at, SoakAction::Drain(server));
            }
            _ => self.add_server_mode(at),
        }
    }

    /// Stops a node, often with further signals during the stop.
    fn add_node_stop(&mut self, at: Duration) {
        let node = self.node();
        self.add(at, SoakAction::Signal(node, ProcessEvent::Terminated));
        if self.random.chance(40) {
            let again = at + self.random.millis(100, 5_000);
            self.add(again, SoakAction::Signal(node, ProcessEvent::Terminated));
        }
        if self.random.chance(30) {
            let hang_up = at + self.random.millis(0, 5_000);
            self.add(hang_up, SoakAction::Signal(node, ProcessEvent::HungUp));
        }
        if self.random.chance(10) {
            let time = self.random.millis(200, 1_500);
            let freeze = at + self.random.millis(0, 4_000);
            self.add(freeze, SoakAction::Freeze(node, time));
        }
    }

    /// Stops several nodes in a row with small gaps.
    fn add_rolling_stop(&mut self, at: Duration) {
        let first = self.random.number(NODE_COUNT);
        let mut at = at;
        for step in 0..self.random.number(3) + 2 {
            let node = ProcessName::Node((first + step) % NODE_COUNT);
            self.add(
                at,
                SoakAction::Signal(ActionTarget::Process(node), ProcessEvent::Terminated),
            );
            at += self.random.millis(100, 1_500);
        }
    }

    fn add_control_disturbance(&mut self, at: Duration) {
        let control = self.control();
        let action = match self.random.between(0, 4) {
            0 => SoakAction::Signal(control, ProcessEvent::Terminated),
            1 => SoakAction::Signal(control, ProcessEvent::Killed),
            2 => SoakAction::Signal(control, ProcessEvent::HungUp),
            _ => SoakAction::Freeze(control, self.random.millis(300, 4_000)),
        };
        self.add(at, action);
        if self.random.chance(50) {
            // A change right after it.
            let after = at + self.random.millis(0, 300);
            self.add_changes(after);
        }
    }

    /// Kills all control instances at once, soon after a change is sent.
    fn add_group_kill(&mut self) {
        let at = self.random.millis(2_000, 12_000);
        self.add_changes(at);
        let kill = at + self.random.millis(0, 400);
        self.add(kill, SoakAction::KillGroup);
    }

    fn add_changes(&mut self, at: Duration) {
        let step = self.random.between(1, 5);
        let mut steps = vec![step];
        if self.random.chance(50) {
            steps.push(step + 1);
        }
        self.add(at, SoakAction::Change(steps));
    }

    fn add_server_mode(&mut self, at: Duration) {
        let server = self.random.number(NODE_COUNT);
        let mode = match self.random.between(0, 3) {
            0 => ServerMode::Slow,
            1 => ServerMode::Drops,
            _ => ServerMode::Sheds,
        };
        let end = at + self.random.millis(500, 3_000);
        self.add(at, SoakAction::SetMode(server, mode));
        self.add(end, SoakAction::SetMode(server, ServerMode::Normal));
    }
}
