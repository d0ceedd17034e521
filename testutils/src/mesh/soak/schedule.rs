//! The faults of a seed, in series and overlapping.

use {
    super::{Deployment, Instant, World, changing_key, publish},
    crate::{
        mesh::{Behaviour, Fault},
        proxy::{Mode, Proxy},
    },
    nix::sys::signal::Signal,
    rand::RngExt as _,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, io, rc::Rc, time::Duration},
};

/// The time from one fault to the next, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 200..1_200;
/// The silence after which the entry of a server lapses: three heartbeats.
const LAPSE: Duration = Duration::from_millis(4_500);
/// How soon the entry of a server that reaches the store again is back.
const RETURN: Duration = Duration::from_millis(1_800);
/// How long a server that is leaving still serves.
const DRAIN: Duration = Duration::from_millis(2_300);
/// How long servers work where nothing is wrong.
const WORK: Duration = Duration::from_millis(20);

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum End {
    Start(usize),
    Resume(usize),
    Connect(usize),
    Lapse(usize),
    Register(usize),
    Unregister(usize),
    HealStore,
    Behave(usize),
}

/// Plays faults on a deployment.
pub struct Driver {
    deployment: Deployment,
    links: Vec<Proxy>,
    world: Rc<World>,
    random: ChaCha8Rng,
    ends: BTreeMap<Instant, End>,
    /// The machines whose processes have a fault.
    busy: Vec<bool>,
    /// The machines that are cut off from the store.
    cut: Vec<bool>,
    /// The machines whose servers have a fault or are leaving.
    impaired: Vec<bool>,
    log: Vec<String>,
    start: Instant,
}

impl Driver {
    pub fn new(
        deployment: Deployment,
        links: Vec<Proxy>,
        world: Rc<World>,
        random: ChaCha8Rng,
    ) -> Self {
        let count = links.len();
        Self {
            deployment,
            links,
            world,
            random,
            ends: BTreeMap::new(),
            busy: vec![false; count],
            cut: vec![false; count],
            impaired: vec![false; count],
            log: Vec::new(),
            start: Instant::now(),
        }
    }

    pub fn into_deployment(self) -> Deployment {
        self.deployment
    }

    /// Plays faults for a time, and then waits for their ends.
    pub async fn play(&mut self, length: Duration) -> io::Result<Vec<String>> {
        for machine in &self.deployment.machines {
            machine.server.set_behaviour(Behaviour::Normal, WORK);
        }
        let end = Instant::now() + length;
        while Instant::now() < end {
            let gap = Duration::from_millis(self.random.random_range(GAP_MS));
            self.wait_until(Instant::now() + gap).await?;
            self.fault()?;
        }
        while let Some(last) = self.ends.keys().next_back().copied() {
            self.wait_until(last).await?;
        }
        Ok(std::mem::take(&mut self.log))
    }

    async fn wait_until(&mut self, end: Instant) -> io::Result<()> {
        while let Some((at, _)) = self.ends.first_key_value().filter(|(at, _)| **at <= end) {
            tokio::time::sleep_until((*at).into()).await;
            if let Some((_, due)) = self.ends.pop_first() {
                self.end(due).await?;
            }
        }
        tokio::time::sleep_until(end.into()).await;
        Ok(())
    }

    fn after(&mut self, wait: Duration, end: End) {
        let mut at = Instant::now() + wait;
        while self.ends.contains_key(&at) {
            at += Duration::from_nanos(1);
        }
        self.ends.insert(at, end);
    }

    fn note(&mut self, what: &str) {
        self.log.push(format!("{:.3} s {what}", self.start.elapsed().as_secs_f64()));
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn fault(&mut self) -> io::Result<()> {
        let machine = self.random.random_range(0..self.links.len());
        match self.random.random_range(0..9) {
            0 => self.signal(machine, Signal::SIGTERM),
            1 => self.signal(machine, Signal::SIGKILL),
            2 => self.signal(machine, Signal::SIGSTOP),
            3 | 4 => self.cut(machine),
            5 => self.impair(machine),
            6 => self.drain(machine),
            7 => self.store(),
            _ => self.change_key(),
        }
        Ok(())
    }

    fn signal(&mut self, machine: usize, signal: Signal) {
        if std::mem::replace(&mut self.busy[machine], true) {
            return;
        }
        self.note(&format!("{signal} to m{machine}"));
        self.deployment.machines[machine].signal(signal);
        let audit = &self.world.audit;
        match signal {
            Signal::SIGSTOP => {
                let pause = self.millis(200..2_500);
                self.after(pause, End::Resume(machine));
            }
            Signal::SIGKILL => {
                audit.borrow_mut().killed(machine);
                let pause = self.millis(200..1_200);
                self.after(pause, End::Start(machine));
            }
            _ => {
                audit.borrow_mut().leaving(machine);
                self.after(Duration::from_millis(6_200), End::Start(machine));
            }
        }
    }

    fn cut(&mut self, machine: usize) {
        if std::mem::replace(&mut self.cut[machine], true) {
            return;
        }
        let mode = [Mode::Blackhole, Mode::Freeze, Mode::Refuse][self.random.random_range(0..3)];
        let wait = self.millis(300..8_000);
        self.note(&format!("{mode:?} between m{machine} and the store for {wait:?}"));
        self.links[machine].set_mode(mode);
        if wait > LAPSE {
            self.after(LAPSE, End::Lapse(machine));
        }
        self.after(wait, End::Connect(machine));
    }

    fn impair(&mut self, machine: usize) {
        const WRONG: [Behaviour; 8] = [
            Behaviour::Fails,
            Behaviour::Sheds,
            Behaviour::Resets,
            Behaviour::Truncates,
            Behaviour::WrongId,
            Behaviour::ExtraAnswer,
            Behaviour::Garbage,
            Behaviour::Unframed,
        ];
        if std::mem::replace(&mut self.impaired[machine], true) {
            return;
        }
        let behaviour = WRONG[self.random.random_range(0..WRONG.len())];
        self.note(&format!("the server of m{machine} {behaviour:?}"));
        self.deployment.machines[machine].server.set_behaviour(behaviour, WORK);
        let wait = self.millis(200..2_000);
        self.after(wait, End::Behave(machine));
    }

    fn drain(&mut self, machine: usize) {
        if self.cut[machine] || std::mem::replace(&mut self.impaired[machine], true) {
            return;
        }
        let is_announced = self.random.random_bool(0.5);
        self.note(&format!("the server of m{machine} leaves, announced: {is_announced}"));
        self.deployment.machines[machine].server.set_healthy(false);
        match is_announced {
            true => self.deployment.register(machine, "draining"),
            false => self.deployment.unregister(machine),
        }
        self.after(DRAIN, End::Unregister(machine));
        self.after(DRAIN + RETURN, End::Register(machine));
    }

    fn store(&mut self) {
        let fault = [Fault::Status(503), Fault::Unresponsive, Fault::StalledWatches]
            [self.random.random_range(0..3)];
        self.note(&format!("the store: {fault:?}"));
        self.deployment.store.fail(fault);
        if fault == Fault::StalledWatches {
            self.deployment.store.compact();
        }
        let wait = self.millis(300..3_000);
        self.after(wait, End::HealStore);
    }

    fn change_key(&mut self) {
        let generation = self.world.generation.get() + 1;
        self.note(&format!("key {generation} instead of the one before"));
        publish(&mut self.deployment, &changing_key(generation));
        self.world.audit.borrow_mut().withdrawn(changing_key(generation - 1));
        self.world.generation.set(generation);
    }

    async fn end(&mut self, end: End) -> io::Result<()> {
        match end {
            End::Start(machine) => {
                // It has ended by now, or the audit tells.
                let ended = self.deployment.machines[machine].ended().await;
                if ended.is_none_or(|status| !status.success() && status.code().is_some()) {
                    let what = format!("m{machine} ended with {ended:?}");
                    self.world.audit.borrow_mut().broken.push(what);
                }
                self.deployment.restart(machine)?;
                self.world.audit.borrow_mut().started(machine);
                self.busy[machine] = false;
            }
            End::Resume(machine) => {
                self.deployment.machines[machine].signal(Signal::SIGCONT);
                self.busy[machine] = false;
            }
            End::Connect(machine) => {
                self.links[machine].heal();
                self.cut[machine] = false;
                self.after(RETURN, End::Register(machine));
            }
            End::Lapse(machine) if !self.impaired[machine] => {
                self.note(&format!("the entry of m{machine} lapses"));
                self.deployment.unregister(machine);
            }
            End::Lapse(_) => {}
            End::Register(machine) if !self.cut[machine] => {
                let server = &self.deployment.machines[machine].server;
                server.set_healthy(true);
                server.set_behaviour(Behaviour::Normal, WORK);
                self.deployment.register(machine, "ready");
                self.impaired[machine] = false;
            }
            End::Register(_) => {}
            End::Unregister(machine) => self.deployment.unregister(machine),
            End::HealStore => self.deployment.store.fail(Fault::None),
            End::Behave(machine) => {
                self.deployment.machines[machine].server.set_behaviour(Behaviour::Normal, WORK);
                self.impaired[machine] = false;
            }
        }
        Ok(())
    }
}
