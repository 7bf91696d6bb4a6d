//! One level of the supervision tree.

use std::future::Future;

use anyhow::Context;
use anyhow::anyhow;
use clock::Clock;
use tokio::runtime::Handle;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::RestartBackoff;
use crate::RestartDecision;

/// Runs tasks until they are cancelled, and restarts those that fail.
///
/// A task that returns `Ok` is finished. One that returns an error or panics
/// is restarted after a backoff delay. A crash loop cancels all tasks of this
/// level and is reported to the level above.
pub struct TaskSupervisor<C> {
    clock: C,
    token: CancellationToken,
    tasks: JoinSet<anyhow::Result<()>>,
}

impl<C: Clock> TaskSupervisor<C> {
    /// Creates a level whose tasks end when `token` is cancelled.
    #[must_use]
    pub fn new(clock: C, token: CancellationToken) -> Self {
        Self {
            clock,
            token,
            tasks: JoinSet::new(),
        }
    }

    /// Adds a task; `start` is called for the first start and for each restart.
    pub fn spawn<F, S>(&mut self, name: &'static str, start: S)
    where
        F: Future<Output = anyhow::Result<()>> + Send + 'static,
        S: Fn() -> F + Send + 'static,
    {
        let clock = self.clock.clone();
        let token = self.token.clone();
        self.tasks
            .spawn(run_with_restarts(name, start, clock, token));
    }

    /// Adds a task that runs on another runtime.
    pub fn spawn_on<F, S>(&mut self, runtime: &Handle, name: &'static str, start: S)
    where
        F: Future<Output = anyhow::Result<()>> + Send + 'static,
        S: Fn() -> F + Send + 'static,
    {
        let clock = self.clock.clone();
        let token = self.token.clone();
        let supervised = run_with_restarts(name, start, clock, token);
        self.tasks.spawn_on(supervised, runtime);
    }

    /// Waits until all tasks are finished.
    ///
    /// # Errors
    ///
    /// Fails when a task is in a crash loop; the other tasks are cancelled then.
    pub async fn join(mut self) -> anyhow::Result<()> {
        let mut outcome = Ok(());
        while let Some(joined) = self.tasks.join_next().await {
            let ended = joined.context("a supervisor ended abnormally").flatten();
            if let Err(error) = ended {
                self.token.cancel();
                outcome = outcome.and(Err(error));
            }
        }
        outcome
    }
}

async fn run_with_restarts<C, F, S>(
    name: &'static str,
    start: S,
    clock: C,
    token: CancellationToken,
) -> anyhow::Result<()>
where
    C: Clock,
    F: Future<Output = anyhow::Result<()>> + Send + 'static,
    S: Fn() -> F + Send + 'static,
{
    let mut backoff = RestartBackoff::default();
    loop {
        let Err(error) = run_once(start()).await else {
            return Ok(());
        };
        if token.is_cancelled() {
            return Err(error).with_context(|| format!("task {name} failed while stopping"));
        }
        match backoff.record_failure(clock.now()) {
            RestartDecision::CrashLoop => {
                return Err(error).with_context(|| format!("task {name} is in a crash loop"));
            }
            RestartDecision::After(delay) => {
                let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
                tracing::warn!(event = "task-restart", task = name, delay_ms, error = %format!("{error:#}"));
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = token.cancelled() => return Ok(()),
                }
            }
        }
    }
}

async fn run_once<F>(task: F) -> anyhow::Result<()>
where
    F: Future<Output = anyhow::Result<()>> + Send + 'static,
{
    match tokio::spawn(task).await {
        Ok(outcome) => outcome,
        Err(error) => Err(anyhow!("the task panicked: {error}")),
    }
}
