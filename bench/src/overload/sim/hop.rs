//! One hop: choice of a target, admission, work, and the way back.

use {
    super::{Event, Sim, WIRE, name},
    crate::overload::{
        case::{Case, Control, SOLD, Variant},
        fake::Reception,
    },
    monsoon_lib::{
        admission::{CallResult, Completion, Controller, Decision, Release, ReportedLoad, Request},
        balance::{Picker, TargetInfo},
        id,
        pressure::{RelayedReport, Tracker},
        table::Class,
        time::Instant,
    },
    rand::RngExt,
    std::{ops::Range, time::Duration},
};

/// Attempts of one hop under a simple control.
const PLAIN_ATTEMPTS: usize = 3;
/// Attempts of one hop under full control.
const FULL_ATTEMPTS: usize = 2;
/// Resends that a node may make for each first send under full control.
const RESEND_RATIO: f64 = 0.1;
/// Resends that a node may save up.
const MAX_RESENDS: f64 = 10.0;

/// A node and its decisions.
pub struct Node {
    pub pool: usize,
    pub gate: Controller,
    vm: id::Vm,
    in_flight: u32,
    limit: u32,
    pickers: Vec<Picker>,
    board: Tracker,
    resends: f64,
}

/// One call of one hop.
#[derive(Debug)]
pub struct Call {
    attempt: u64,
    hop: usize,
    last_hop: usize,
    sender: usize,
    node: usize,
    parent: Option<u64>,
    child: Option<u64>,
    /// The nodes that refused or failed it before.
    tried: Vec<usize>,
    sent: Instant,
    released: Option<Instant>,
    is_working: bool,
}

fn vm(node: usize) -> id::Vm {
    name(&format!("vm-{node}"))
}

impl Node {
    pub fn new(
        case: &Case,
        variant: &Variant,
        places: &[usize],
        node: usize,
        pool: usize,
        seed: u64,
    ) -> Self {
        let site = |i: usize| name(&format!("site-{}", i % 3));
        let seed = seed ^ (node as u64) << 32;
        let picker = |pool: usize| {
            let members = places.iter().enumerate().filter(|(_, place)| **place == pool);
            let listed: Vec<TargetInfo> = members
                .map(|(i, _)| TargetInfo {
                    vm: vm(i),
                    data_centre: site(i),
                    slots: case.pools[pool].published,
                    is_leaving: false,
                })
                .collect();
            let mut picker = Picker::new(variant.picker.clone(), site(node), seed);
            picker.set_targets(Instant::ZERO, &listed);
            picker
        };
        let published = case.pools[pool].published;
        Self {
            pool,
            gate: Controller::new(variant.gate.clone(), published, false, Instant::ZERO),
            vm: vm(node),
            in_flight: 0,
            limit: published,
            pickers: (0..case.pools.len()).map(picker).collect(),
            board: Tracker::new(variant.board.clone(), seed),
            resends: MAX_RESENDS,
        }
    }
}

impl Sim<'_> {
    fn is_full(&self) -> bool {
        self.variant.control == Control::Full
    }

    /// The nodes of restarted VMs start anew, with a cold target.
    pub(super) fn restart_nodes(&mut self, nodes: Range<usize>) {
        for node in nodes {
            let published = self.case.pools[self.nodes[node].pool].published;
            let calls: Vec<u64> =
                self.calls.iter().filter(|(_, c)| c.node == node).map(|(n, _)| *n).collect();
            let mut calls = calls;
            calls.sort_unstable();
            for call in calls {
                self.end(call, CallResult::Broken);
            }
            let gate = Controller::new(self.variant.gate.clone(), published, true, self.now);
            self.nodes[node].gate = gate;
        }
    }

    /// Sends a call of an attempt to a target of the hop's pool.
    pub(super) fn send(
        &mut self,
        attempt: u64,
        hop: usize,
        sender: usize,
        parent: Option<u64>,
        tried: Vec<usize>,
    ) {
        let Some(node) = self.choose(attempt, hop, sender, &tried) else {
            self.lost(attempt, parent, true);
            return;
        };
        if self.is_full() {
            let vm = vm(node);
            self.nodes[sender].pickers[hop].call_started(&vm);
        }
        let number = self.number();
        let above = parent.and_then(|parent| self.calls.get(&parent)).map(|call| call.last_hop);
        let hops = |class: Class| self.case.hops[class.index()] - 1;
        let Some(last_hop) = above.or_else(|| self.class_of(attempt).map(hops)) else { return };
        let call = Call {
            attempt,
            hop,
            last_hop,
            sender,
            node,
            parent,
            child: None,
            tried,
            sent: self.now,
            released: None,
            is_working: false,
        };
        self.calls.insert(number, call);
        self.link(attempt, parent, Some(number));
        self.plan(self.now + WIRE, Event::Reach { call: number });
    }

    fn class_of(&self, attempt: u64) -> Option<Class> {
        Some(self.requests[self.attempts.get(&attempt)?.request].class)
    }

    fn link(&mut self, attempt: u64, parent: Option<u64>, child: Option<u64>) {
        match parent {
            Some(parent) => {
                if let Some(call) = self.calls.get_mut(&parent) {
                    call.child = child;
                }
            }
            None => {
                if let Some(attempt) = self.attempts.get_mut(&attempt) {
                    attempt.root = child;
                }
            }
        }
    }

    fn choose(
        &mut self,
        attempt: u64,
        hop: usize,
        sender: usize,
        tried: &[usize],
    ) -> Option<usize> {
        if !self.is_full() {
            let nodes = (0..self.nodes.len()).filter(|i| self.nodes[*i].pool == hop);
            let nodes: Vec<usize> = nodes.collect();
            return Some(nodes[self.rng.random_range(0..nodes.len())]);
        }
        let request = &self.requests[self.attempts.get(&attempt)?.request];
        let account = Some(self.accounts[request.account].clone());
        let node = &mut self.nodes[sender];
        if tried.is_empty() {
            node.resends = (node.resends + RESEND_RATIO).min(MAX_RESENDS);
            let route = &self.routes[request.class.index()][hop];
            let pool = &self.pools[hop];
            if node.board.check(self.now, route, pool, request.class, &account).is_some() {
                return None;
            }
        }
        let exclude: Vec<id::Vm> = tried.iter().copied().map(vm).collect();
        let chosen = node.pickers[hop].pick(self.now, &exclude)?;
        self.nodes.iter().position(|node| node.vm == chosen)
    }

    /// A call reaches the node of its target.
    pub(super) fn reach(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else { return };
        let node = call.node;
        match self.variant.control {
            Control::None => self.begin(number),
            Control::Static if self.nodes[node].in_flight < self.nodes[node].limit => {
                self.begin(number);
            }
            Control::Static => self.refused(number),
            Control::Full => {
                let Some(ask) = self.ask(number) else { return };
                let offered = self.nodes[node].gate.offer(self.now, id::Call(number), &ask);
                self.apply(node, offered.releases);
                match offered.decision {
                    Decision::Run => self.begin(number),
                    Decision::Queued => {}
                    Decision::Refused(_) => self.refused(number),
                }
            }
        }
    }

    fn ask(&self, number: u64) -> Option<Request> {
        let call = self.calls.get(&number)?;
        let attempt = self.attempts.get(&call.attempt)?;
        let request = &self.requests[attempt.request];
        let depth = if self.variant.is_deeper_first { call.hop as u8 } else { 0 };
        Some(Request {
            account: Some(self.accounts[request.account].clone()),
            weight: SOLD[request.account],
            class: request.class,
            deadline: attempt.deadline,
            depth,
        })
    }

    pub(super) fn apply(&mut self, node: usize, releases: Vec<Release>) {
        debug_assert!(node < self.nodes.len());
        for release in releases {
            match release {
                Release::Run(call) => self.begin(call.0),
                Release::Refuse(call, _) => self.refused(call.0),
            }
        }
    }

    /// Passes a call to its target.
    fn begin(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.released = Some(self.now);
        let (node, hop) = (call.node, call.hop);
        self.nodes[node].in_flight += 1;
        let slowness = self.slowness(hop);
        match self.targets[node].receive(number, slowness, &mut self.rng) {
            Reception::Working(time) => self.work(number, time),
            Reception::Waiting => {}
            Reception::Shed => self.end(number, CallResult::Shed),
        }
    }

    fn work(&mut self, number: u64, time: Duration) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.is_working = true;
        self.counts.runs[call.hop] += 1;
        self.counts.worked_s += time.as_secs_f64();
        if let Some(attempt) = self.attempts.get_mut(&call.attempt) {
            attempt.ran |= 1 << call.hop;
            attempt.worked_s += time.as_secs_f64();
        }
        self.plan(self.now + time, Event::Worked { call: number });
    }

    /// A call's own work is done; the next hop follows or the answer goes back.
    pub(super) fn worked(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else { return };
        let (attempt, hop, node, last) = (call.attempt, call.hop + 1, call.node, call.last_hop);
        if hop > last {
            self.end(number, CallResult::Ok);
            return;
        }
        self.nodes[node].gate.nested_call_started(self.now, id::Call(number));
        self.send(attempt, hop, node, Some(number), Vec::new());
    }

    /// Ends a call that was released to its target.
    fn end(&mut self, number: u64, kind: CallResult) {
        let Some(call) = self.calls.remove(&number) else { return };
        self.free(number, &call);
        if self.is_full() {
            let latency = call.released.map_or(Duration::ZERO, |released| self.now - released);
            let node = &mut self.nodes[call.node];
            node.gate.report_load(ReportedLoad { load: self.case.reported_load.unwrap_or(1.0) });
            let ended = Completion { latency, kind };
            let releases = node.gate.complete(self.now, id::Call(number), ended);
            self.apply(call.node, releases);
            self.tell(&call, kind);
        }
        match kind {
            CallResult::Ok => self.succeeded(&call),
            CallResult::Cancelled => {}
            CallResult::Shed => self.resend(call, true),
            CallResult::Failed | CallResult::Broken => self.resend(call, false),
        }
    }

    fn free(&mut self, number: u64, call: &Call) {
        if call.released.is_none() {
            return;
        }
        self.nodes[call.node].in_flight -= 1;
        if !call.is_working {
            self.targets[call.node].forget(number);
            return;
        }
        self.targets[call.node].release();
        while let Some(next) = self.targets[call.node].next() {
            if self.calls.contains_key(&next) {
                let slowness = self.slowness(call.hop);
                let time = self.targets[call.node].begin(slowness, &mut self.rng);
                self.work(next, time);
            }
        }
    }

    /// The sender learns from a reply.
    fn tell(&mut self, call: &Call, kind: CallResult) {
        let Some(class) = self.class_of(call.attempt) else { return };
        let node = &mut self.nodes[call.node];
        let route = &self.routes[class.index()][call.hop];
        let reached = &self.pools[call.hop + 1..=call.last_hop];
        if kind == CallResult::Ok {
            node.board.record_reached_pools(route, reached);
        }
        let report = node.gate.pressure(self.now);
        let mut relayed = node.board.relayed_reports(self.now, route);
        let (vm, pool) = (node.vm.clone(), self.pools[call.hop].clone());
        let sender = &mut self.nodes[call.sender];
        let picker = &mut sender.pickers[call.hop];
        picker.call_finished(self.now, &vm, kind, self.now - call.sent);
        picker.record_report(self.now, &vm, &report);
        if kind == CallResult::Ok {
            sender.board.record_reached_pools(route, reached);
        }
        relayed.push(RelayedReport { pool, vm, age: Duration::ZERO, report });
        for report in relayed {
            sender.board.record_report(self.now, report);
        }
    }

    fn succeeded(&mut self, call: &Call) {
        match call.parent {
            Some(parent) => self.end(parent, CallResult::Ok),
            None => self.answered(call.attempt),
        }
    }

    /// Refuses a call that was not released to its target.
    fn refused(&mut self, number: u64) {
        let Some(call) = self.calls.remove(&number) else { return };
        if self.is_full() {
            self.tell(&call, CallResult::Shed);
        }
        self.resend(call, true);
    }

    /// Tries another target, or tells the caller.
    fn resend(&mut self, mut call: Call, is_refusal: bool) {
        call.tried.push(call.node);
        if self.may_resend(&call, is_refusal) {
            self.send(call.attempt, call.hop, call.sender, call.parent, call.tried);
        } else {
            self.lost(call.attempt, call.parent, is_refusal);
        }
    }

    fn may_resend(&mut self, call: &Call, is_refusal: bool) -> bool {
        if !self.is_full() {
            return call.tried.len() < PLAIN_ATTEMPTS;
        }
        let Some(attempt) = self.attempts.get(&call.attempt) else { return false };
        let request = &self.requests[attempt.request];
        let account = Some(self.accounts[request.account].clone());
        let node = &mut self.nodes[call.sender];
        let is_pressed =
            node.board.is_limited(self.now, &self.pools[call.hop], request.class, &account);
        let may =
            is_refusal && call.tried.len() < FULL_ATTEMPTS && !is_pressed && node.resends >= 1.0;
        node.resends -= f64::from(u8::from(may));
        may
    }

    fn lost(&mut self, attempt: u64, parent: Option<u64>, is_refusal: bool) {
        match parent {
            Some(parent) => self.end(parent, CallResult::Failed),
            None => self.failed(attempt, is_refusal),
        }
    }

    /// Cancels a call and all calls below it.
    pub(super) fn cancel(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else { return };
        let (child, node) = (call.child, call.node);
        if let Some(child) = child {
            self.cancel(child);
        }
        if self.nodes[node].gate.cancel(self.now, id::Call(number)) {
            if let Some(call) = self.calls.remove(&number) {
                self.tell(&call, CallResult::Cancelled);
            }
        } else {
            self.end(number, CallResult::Cancelled);
        }
    }
}
