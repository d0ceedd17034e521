//! Injects the faults of a seed, which may overlap.

mod cold;
mod decline;
mod evacuation;

use {
    super::{
        Deployment, Instant, Plan, Shared, audit::disturbance::Cause, plan::Planned, publish,
        rotated_key,
    },
    crate::{
        mesh::{Behaviour, Copy, Fault},
        proxy::{Mode, Proxy},
    },
    nix::sys::signal::Signal,
    rand::RngExt as _,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        rc::Rc,
        time::Duration,
    },
};

/// The time from one fault to the next, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 200..1_200;
/// How long the store keeps the entry of a server without heartbeats: three heartbeat intervals.
const ENTRY_TTL: Duration = Duration::from_millis(4_500);
/// The time until a server that reaches the store again is registered again.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1_800);
/// How long a draining server still serves.
const DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// The limits, in requests per second, that servers name.
const LIMITS: std::ops::Range<u32> = 2..12;
/// How long servers work on a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// A scheduled event, most of which end a fault.
#[derive(Debug)]
enum Event {
    Restart(usize),
    Resume(usize),
    Reconnect(usize),
    ExpireEntry(usize),
    Register(usize),
    Unregister(usize),
    HealStore,
    LoseStore(Copy),
    RestoreStore(Copy),
    WriteAgain,
    RestoreServer(usize),
    LiftLimit(usize),
    Warm(usize),
    EndDecline(usize),
    TakeBack(String),
}

/// Injects faults into a deployment and ends them on schedule.
pub struct Driver {
    deployment: Deployment,
    links: Vec<Proxy>,
    shared: Rc<Shared>,
    random: ChaCha8Rng,
    events: BTreeMap<Instant, Event>,
    /// Whether the node process of each machine has a fault.
    busy: Vec<bool>,
    /// Whether each machine is cut off from the store.
    cut: Vec<bool>,
    /// Whether the server of each machine has a fault or is draining.
    impaired: Vec<bool>,
    /// Whether the server of each machine is draining.
    draining: Vec<bool>,
    /// Whether the server of each machine names a limit.
    limited: Vec<bool>,
    /// Whether the server of each machine is cold.
    cold: Vec<bool>,
    /// Whether the server of each machine declines a part of its requests.
    declining: Vec<bool>,
    /// The zones that are evacuated.
    evacuated: BTreeSet<String>,
    plan: Plan,
    log: Vec<String>,
    start: Instant,
}

impl Driver {
    pub fn new(
        deployment: Deployment,
        links: Vec<Proxy>,
        shared: Rc<Shared>,
        random: ChaCha8Rng,
        plan: Plan,
    ) -> Self {
        let count = links.len();
        Self {
            deployment,
            links,
            shared,
            random,
            events: BTreeMap::new(),
            busy: vec![false; count],
            cut: vec![false; count],
            impaired: vec![false; count],
            draining: vec![false; count],
            limited: vec![false; count],
            cold: vec![false; count],
            declining: vec![false; count],
            evacuated: BTreeSet::new(),
            plan,
            log: Vec::new(),
            start: Instant::now(),
        }
    }

    pub fn into_deployment(self) -> Deployment {
        self.deployment
    }

    /// Injects faults for the given time and waits until all have ended. Returns the log of faults.
    pub async fn run(&mut self, length: Duration) -> io::Result<Vec<String>> {
        for machine in &self.deployment.machines {
            machine.server.set_behaviour(Behaviour::Normal, SERVICE_TIME);
        }
        let end = Instant::now() + length;
        while Instant::now() < end {
            let interval = Duration::from_millis(self.random.random_range(FAULT_INTERVAL_MS));
            self.wait_until(Instant::now() + interval).await?;
            self.inject_fault()?;
        }
        while let Some(last) = self.events.keys().next_back().copied() {
            self.wait_until(last).await?;
        }
        Ok(std::mem::take(&mut self.log))
    }

    async fn wait_until(&mut self, end: Instant) -> io::Result<()> {
        while let Some((at, _)) = self.events.first_key_value().filter(|(at, _)| **at <= end) {
            tokio::time::sleep_until((*at).into()).await;
            if let Some((_, due)) = self.events.pop_first() {
                self.handle(due).await?;
            }
        }
        tokio::time::sleep_until(end.into()).await;
        Ok(())
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        let mut at = Instant::now() + wait;
        while self.events.contains_key(&at) {
            at += Duration::from_nanos(1);
        }
        self.events.insert(at, event);
    }

    fn record(&mut self, text: &str) {
        self.log.push(format!("{:.3} s {text}", self.start.elapsed().as_secs_f64()));
    }

    fn random_millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn inject_fault(&mut self) -> io::Result<()> {
        let machine = self.random.random_range(0..self.links.len());
        // Without the faults of the plan, each seed plays the same faults as if there were none.
        let planned = self.plan.weights();
        match self.random.random_range(0..12 + planned.len()) {
            kind @ 12.. => match planned[kind - 12] {
                Planned::Cold => self.chill(machine),
                Planned::Evacuation => self.evacuate(machine),
                Planned::Decline => self.decline(),
            },
            0 => self.signal(machine, Signal::SIGTERM),
            1 => self.signal(machine, Signal::SIGKILL),
            2 => self.signal(machine, Signal::SIGSTOP),
            3 | 4 => self.cut_off(machine),
            5 => self.impair(machine),
            6 => self.drain(machine),
            7 => self.fail_store(),
            8 => self.copy_store(),
            9 | 10 => self.limit(machine),
            _ => self.rotate_key(),
        }
        Ok(())
    }

    fn signal(&mut self, machine: usize, signal: Signal) {
        if std::mem::replace(&mut self.busy[machine], true) {
            return;
        }
        self.record(&format!("{signal} sent to m{machine}"));
        self.deployment.machines[machine].signal(signal);
        let audit = &self.shared.audit;
        match signal {
            Signal::SIGSTOP => {
                let pause = self.random_millis(200..2_500);
                self.begin_disturbance(Cause::Pause(machine));
                self.schedule(pause, Event::Resume(machine));
            }
            Signal::SIGKILL => {
                audit.borrow_mut().record_kill(machine);
                let pause = self.random_millis(200..1_200);
                self.schedule(pause, Event::Restart(machine));
            }
            _ => {
                audit.borrow_mut().record_leave(machine);
                self.schedule(Duration::from_millis(6_200), Event::Restart(machine));
            }
        }
    }

    fn cut_off(&mut self, machine: usize) {
        if std::mem::replace(&mut self.cut[machine], true) {
            return;
        }
        let mode = [Mode::Blackhole, Mode::Freeze, Mode::Refuse][self.random.random_range(0..3)];
        let wait = self.random_millis(300..8_000);
        self.record(&format!("link between m{machine} and the store: {mode:?} for {wait:?}"));
        self.links[machine].set_mode(mode);
        self.begin_disturbance(Cause::Cut(machine));
        if wait > ENTRY_TTL {
            self.schedule(ENTRY_TTL, Event::ExpireEntry(machine));
        }
        self.schedule(wait, Event::Reconnect(machine));
    }

    fn impair(&mut self, machine: usize) {
        const FAULTS: [Behaviour; 10] = [
            Behaviour::Fails,
            Behaviour::Sheds,
            Behaviour::Resets,
            Behaviour::Truncates,
            Behaviour::WrongId,
            Behaviour::ExtraAnswer,
            Behaviour::Garbage,
            Behaviour::Unframed,
            Behaviour::Endless("HEAD", "X-Fill: a\r\n"),
            Behaviour::Endless("HEAD\r\n", "x"),
        ];
        if std::mem::replace(&mut self.impaired[machine], true) {
            return;
        }
        let behaviour = FAULTS[self.random.random_range(0..FAULTS.len())];
        self.record(&format!("server of m{machine}: {behaviour:?}"));
        self.deployment.machines[machine].server.set_behaviour(behaviour, SERVICE_TIME);
        let wait = self.random_millis(200..2_000);
        self.schedule(wait, Event::RestoreServer(machine));
    }

    fn drain(&mut self, machine: usize) {
        if self.cut[machine] || std::mem::replace(&mut self.impaired[machine], true) {
            return;
        }
        self.draining[machine] = true;
        let server = &self.deployment.machines[machine].server;
        server.set_healthy(false);
        server.set_added_fields(&[("Server-Leaving", "1")]);
        self.shared.audit.borrow_mut().record_departure(machine);
        let entry = ["draining", "removed", "ready"][self.random.random_range(0..3)];
        self.record(&format!("server of m{machine} drains, its entry is {entry}"));
        match entry {
            "removed" => self.deployment.unregister(machine),
            state => self.deployment.register(machine, state),
        }
        self.schedule(DRAIN_TIME, Event::Unregister(machine));
        self.schedule(DRAIN_TIME + REGISTRATION_DELAY, Event::Register(machine));
    }

    fn limit(&mut self, machine: usize) {
        if std::mem::replace(&mut self.impaired[machine], true) {
            return;
        }
        self.limited[machine] = true;
        let limit = self.random.random_range(LIMITS);
        let wait = self.random_millis(1_000..9_000);
        self.record(&format!("server of m{machine} takes {limit}/s for {wait:?}"));
        let server = &self.deployment.machines[machine].server;
        server.set_added_fields(&[("Server-Limit", &limit.to_string())]);
        self.shared.audit.borrow_mut().record_limit(machine, limit);
        self.schedule(wait, Event::LiftLimit(machine));
    }

    fn fail_store(&mut self) {
        let fault = [Fault::Status(503), Fault::Unresponsive, Fault::StalledWatches]
            [self.random.random_range(0..3)];
        self.record(&format!("store: {fault:?}"));
        self.deployment.store.fail(fault);
        self.begin_disturbance(Cause::Store);
        if fault == Fault::StalledWatches {
            self.deployment.store.compact();
        }
        let wait = self.random_millis(300..3_000);
        self.schedule(wait, Event::HealStore);
    }

    /// Copies the store, from which it is restored some seconds later.
    fn copy_store(&mut self) {
        let copy = self.deployment.store.copy();
        let wait = self.random_millis(300..3_000);
        self.schedule(wait, Event::LoseStore(copy));
    }

    fn begin_disturbance(&mut self, cause: Cause) {
        self.shared.audit.borrow_mut().disturbances.begin(Instant::now(), cause);
    }

    fn end_disturbance(&mut self, cause: Cause) {
        self.shared.audit.borrow_mut().disturbances.end(Instant::now(), cause);
    }

    fn rotate_key(&mut self) {
        let rotation = self.shared.rotation.get() + 1;
        self.record(&format!("key {rotation} replaces the previous one"));
        publish(&mut self.deployment, &rotated_key(rotation));
        self.shared.audit.borrow_mut().record_withdrawal(rotated_key(rotation - 1));
        self.shared.rotation.set(rotation);
    }

    async fn handle(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Restart(machine) => {
                // A node that has not ended by now, or has failed, is a violation.
                let ended = self.deployment.machines[machine].ended().await;
                if ended.is_none_or(|status| !status.success() && status.code().is_some()) {
                    let violation = format!("node of m{machine} did not exit cleanly: {ended:?}");
                    self.shared.audit.borrow_mut().violations.push(violation);
                }
                self.deployment.restart(machine)?;
                self.shared.audit.borrow_mut().record_start(machine);
                self.busy[machine] = false;
            }
            Event::Resume(machine) => {
                self.deployment.machines[machine].signal(Signal::SIGCONT);
                self.end_disturbance(Cause::Pause(machine));
                self.busy[machine] = false;
            }
            Event::Reconnect(machine) => {
                self.links[machine].heal();
                self.end_disturbance(Cause::Cut(machine));
                self.cut[machine] = false;
                self.schedule(REGISTRATION_DELAY, Event::Register(machine));
            }
            Event::ExpireEntry(machine) if !self.impaired[machine] => {
                self.record(&format!("entry of m{machine} expires"));
                self.deployment.unregister(machine);
            }
            Event::ExpireEntry(_) => {}
            Event::Register(machine) if !self.cut[machine] => {
                let server = &self.deployment.machines[machine].server;
                server.set_healthy(true);
                if !self.declining[machine] {
                    server.set_behaviour(Behaviour::Normal, SERVICE_TIME);
                }
                if std::mem::replace(&mut self.draining[machine], false) {
                    server.set_added_fields(&[]);
                    self.deployment.renew(machine);
                    self.shared.audit.borrow_mut().record_return(machine);
                }
                self.deployment.register(machine, "ready");
                self.impaired[machine] =
                    self.limited[machine] || self.cold[machine] || self.declining[machine];
            }
            Event::Register(_) => {}
            Event::Unregister(machine) => self.deployment.unregister(machine),
            Event::LoseStore(copy) => {
                self.deployment.store.fail(Fault::Status(503));
                self.begin_disturbance(Cause::Store);
                self.begin_disturbance(Cause::Restore);
                self.lose_evacuations();
                let wait = self.random_millis(50..500);
                self.schedule(wait, Event::RestoreStore(copy));
            }
            Event::RestoreStore(copy) => {
                self.record("store restored from a copy");
                self.deployment.store.restore(&copy);
                self.deployment.store.fail(Fault::None);
                self.end_disturbance(Cause::Store);
                let wait = self.random_millis(100..1_200);
                self.schedule(wait, Event::WriteAgain);
            }
            Event::WriteAgain => {
                self.deployment.write_again();
                self.write_evacuations_again();
                self.end_disturbance(Cause::Restore);
            }
            Event::HealStore => {
                self.deployment.store.fail(Fault::None);
                self.end_disturbance(Cause::Store);
            }
            Event::Warm(machine) => {
                self.cold[machine] = false;
                self.impaired[machine] = self.draining[machine] || self.limited[machine];
            }
            Event::EndDecline(machine) => self.end_decline(machine),
            Event::TakeBack(zone) => self.take_back(&zone),
            Event::LiftLimit(machine) => {
                self.deployment.machines[machine].server.set_added_fields(&[]);
                self.shared.audit.borrow_mut().record_limit_lifted(machine);
                self.limited[machine] = false;
                self.impaired[machine] = false;
            }
            Event::RestoreServer(machine) => {
                self.deployment.machines[machine]
                    .server
                    .set_behaviour(Behaviour::Normal, SERVICE_TIME);
                self.impaired[machine] = false;
            }
        }
        Ok(())
    }
}
