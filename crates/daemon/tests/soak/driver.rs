//! Plays a schedule on a deployment, and brings back what ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::CONTROL_COUNT;
use crate::deployment::GRACE;
use crate::deployment::SoakDeployment;
use crate::history::ProcessEvent;
use crate::history::ProcessName;
use crate::operator::SoakOperator;
use crate::random::SeededRandom;
use crate::schedule::ActionTarget;
use crate::schedule::SoakAction;

/// Interval between two looks at schedule and processes.
const TICK: Duration = Duration::from_millis(5);
/// Time after which a process that ended is started again, in milliseconds.
const RESTART_MS: (u64, u64) = (100, 1_500);
/// Control instances that are disturbed at a time; more may suspend the service.
const DISTURBED_CONTROL_MAX: usize = 2;

/// Plays a schedule.
#[derive(Debug)]
pub(crate) struct ScheduleDriver<'a> {
    deployment: &'a mut SoakDeployment,
    operator: SoakOperator,
    random: SeededRandom,
    queue: BTreeMap<(Instant, u64), SoakAction>,
    count: u64,
    /// Changes that have no clear answer yet.
    pending_changes: Arc<AtomicUsize>,
}

impl<'a> ScheduleDriver<'a> {
    pub(crate) fn new(
        deployment: &'a mut SoakDeployment,
        operator: SoakOperator,
        random: SeededRandom,
    ) -> Self {
        Self {
            deployment,
            operator,
            random,
            queue: BTreeMap::new(),
            count: 0,
            pending_changes: Arc::default(),
        }
    }

    /// Plays the schedule until every process runs again and every change has an answer.
    pub(crate) fn play(mut self, schedule: Vec<(Duration, SoakAction)>) {
        let start = Instant::now();
        for (at, action) in schedule {
            self.plan(start + at, action);
        }
        loop {
            self.perform_due();
            for process in self.deployment.take_ended() {
                self.plan_restart(process);
            }
            if self.queue.is_empty() && self.pending_changes.load(Ordering::Relaxed) == 0 {
                return;
            }
            thread::sleep(TICK);
        }
    }

    fn plan(&mut self, at: Instant, action: SoakAction) {
        self.count += 1;
        self.queue.insert((at, self.count), action);
    }

    fn plan_restart(&mut self, process: ProcessName) {
        let (low, high) = RESTART_MS;
        let at = Instant::now() + self.random.millis(low, high);
        self.plan(at, SoakAction::Start(process));
    }

    fn perform_due(&mut self) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > Instant::now() {
                return;
            }
            let action = first.remove();
            self.perform(action);
        }
    }

    fn perform(&mut self, action: SoakAction) {
        match action {
            SoakAction::Signal(target, event) => {
                if let Some(process) = self.find(target) {
                    self.signal(process, event);
                }
            }
            SoakAction::EndGrace(process) => {
                let terminated = self.deployment.process(process).terminated;
                if terminated.is_some_and(|since| since.elapsed() >= GRACE) {
                    self.signal(process, ProcessEvent::GraceEnded);
                }
            }
            SoakAction::Freeze(target, time) => {
                if let Some(process) = self.find(target) {
                    self.signal(process, ProcessEvent::Frozen);
                    self.plan(Instant::now() + time, SoakAction::Thaw(process));
                }
            }
            SoakAction::Thaw(process) => {
                if self.deployment.process(process).is_frozen {
                    self.signal(process, ProcessEvent::Thawed);
                }
            }
            SoakAction::KillGroup => {
                for number in 0..CONTROL_COUNT {
                    self.signal(ProcessName::Control(number), ProcessEvent::Killed);
                }
            }
            SoakAction::Start(process) => self.deployment.launch(process, false),
            SoakAction::Change(steps) => self.change(steps),
            SoakAction::SetMode(server, mode) => {
                self.deployment.servers[usize::from(server)].set_mode(mode);
            }
            SoakAction::Drain(server) => self.deployment.servers[usize::from(server)].drain(),
        }
    }

    /// Returns the process if it is there and may be disturbed.
    fn find(&mut self, target: ActionTarget) -> Option<ProcessName> {
        let process = match target {
            ActionTarget::Process(process) => process,
            ActionTarget::Leader => ProcessName::Control(self.operator.leader()?),
        };
        let is_control = matches!(process, ProcessName::Control(_));
        let enough = self.deployment.disturbed_control() >= DISTURBED_CONTROL_MAX;
        (self.deployment.exists(process) && !(is_control && enough)).then_some(process)
    }

    fn signal(&mut self, process: ProcessName, event: ProcessEvent) {
        if !self.deployment.exists(process) {
            return;
        }
        self.deployment.signal(process, event);
        match event {
            ProcessEvent::Terminated => {
                self.plan(Instant::now() + GRACE, SoakAction::EndGrace(process));
            }
            ProcessEvent::Killed | ProcessEvent::GraceEnded => self.plan_restart(process),
            _ => {}
        }
    }

    fn change(&self, steps: Vec<u64>) {
        let (operator, pending) = (self.operator.clone(), self.pending_changes.clone());
        pending.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || {
            operator.change(&steps);
            pending.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
