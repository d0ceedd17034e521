//! One hop of a call: target selection, admission, work, and the reply.

use {
    super::{Event, NETWORK_DELAY, Sim, parse_name},
    crate::overload::{
        case::{Case, Control, SOLD_RATES, Variant},
        fake::Disposition,
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

/// The maximum number of attempts of one hop without control or with a static limit.
const SIMPLE_MAX_ATTEMPTS: usize = 3;
/// The maximum number of attempts of one hop with full control.
const FULL_MAX_ATTEMPTS: usize = 2;
/// Retries that a node earns with each first send, with full control.
const RETRY_RATIO: f64 = 0.1;
/// The maximum retry budget of a node.
const MAX_RETRY_BUDGET: f64 = 10.0;

/// A node, with the state of its overload control.
pub struct Node {
    pub pool: usize,
    pub controller: Controller,
    vm: id::Vm,
    in_flight: u32,
    limit: u32,
    pickers: Vec<Picker>,
    tracker: Tracker,
    retry_budget: f64,
}

/// A call of one hop to one target.
#[derive(Debug)]
pub struct Call {
    attempt: u64,
    hop: usize,
    last_hop: usize,
    sender: usize,
    node: usize,
    parent: Option<u64>,
    child: Option<u64>,
    /// The nodes that refused or failed earlier attempts of this hop.
    tried: Vec<usize>,
    sent_at: Instant,
    released_at: Option<Instant>,
    is_working: bool,
}

fn vm_name(node: usize) -> id::Vm {
    parse_name(&format!("vm-{node}"))
}

impl Node {
    pub fn new(
        case: &Case,
        variant: &Variant,
        pool_of_node: &[usize],
        node: usize,
        pool: usize,
        seed: u64,
    ) -> Self {
        let data_centre = |i: usize| parse_name(&format!("site-{}", i % 3));
        let seed = seed ^ (node as u64) << 32;
        let picker = |pool: usize| {
            let members =
                pool_of_node.iter().enumerate().filter(|(_, node_pool)| **node_pool == pool);
            let listed: Vec<TargetInfo> = members
                .map(|(i, _)| TargetInfo {
                    vm: vm_name(i),
                    data_centre: data_centre(i),
                    slots: case.pools[pool].published_slots,
                    is_leaving: false,
                })
                .collect();
            let mut picker = Picker::new(variant.balance.clone(), data_centre(node), seed);
            picker.set_targets(Instant::ZERO, &listed);
            picker
        };
        let published_slots = case.pools[pool].published_slots;
        Self {
            pool,
            controller: Controller::new(
                variant.admission.clone(),
                published_slots,
                false,
                Instant::ZERO,
            ),
            vm: vm_name(node),
            in_flight: 0,
            limit: published_slots,
            pickers: (0..case.pools.len()).map(picker).collect(),
            tracker: Tracker::new(variant.pressure.clone(), seed),
            retry_budget: MAX_RETRY_BUDGET,
        }
    }
}

impl Sim<'_> {
    fn has_full_control(&self) -> bool {
        self.variant.control == Control::Full
    }

    /// Restarts nodes together with their targets. Their calls are broken, and their admission
    /// controllers start with a cold target.
    pub(super) fn restart_nodes(&mut self, nodes: Range<usize>) {
        for node in nodes {
            let published_slots = self.case.pools[self.nodes[node].pool].published_slots;
            let calls: Vec<u64> =
                self.calls.iter().filter(|(_, c)| c.node == node).map(|(n, _)| *n).collect();
            let mut calls = calls;
            calls.sort_unstable();
            for call in calls {
                self.end_call(call, CallResult::Broken);
            }
            let controller =
                Controller::new(self.variant.admission.clone(), published_slots, true, self.now);
            self.nodes[node].controller = controller;
        }
    }

    /// Selects a target of the hop's pool and sends it a call of an attempt. The call is refused if
    /// no target can be selected.
    pub(super) fn send(
        &mut self,
        attempt: u64,
        hop: usize,
        sender: usize,
        parent: Option<u64>,
        tried: Vec<usize>,
    ) {
        let Some(node) = self.select_target(attempt, hop, sender, &tried) else {
            self.propagate_failure(attempt, parent, true);
            return;
        };
        if self.has_full_control() {
            let vm = vm_name(node);
            self.nodes[sender].pickers[hop].call_started(&vm);
        }
        let call_id = self.next_id();
        let inherited = parent.and_then(|parent| self.calls.get(&parent)).map(|call| call.last_hop);
        let last_hop_of = |class: Class| self.case.hops[class.index()] - 1;
        let Some(last_hop) = inherited.or_else(|| self.class_of(attempt).map(last_hop_of)) else {
            return;
        };
        let call = Call {
            attempt,
            hop,
            last_hop,
            sender,
            node,
            parent,
            child: None,
            tried,
            sent_at: self.now,
            released_at: None,
            is_working: false,
        };
        self.calls.insert(call_id, call);
        self.set_child(attempt, parent, Some(call_id));
        self.schedule(self.now + NETWORK_DELAY, Event::ReachNode { call: call_id });
    }

    fn class_of(&self, attempt: u64) -> Option<Class> {
        Some(self.requests[self.attempts.get(&attempt)?.request].class)
    }

    fn set_child(&mut self, attempt: u64, parent: Option<u64>, child: Option<u64>) {
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

    fn select_target(
        &mut self,
        attempt: u64,
        hop: usize,
        sender: usize,
        tried: &[usize],
    ) -> Option<usize> {
        if !self.has_full_control() {
            let nodes = (0..self.nodes.len()).filter(|i| self.nodes[*i].pool == hop);
            let nodes: Vec<usize> = nodes.collect();
            return Some(nodes[self.rng.random_range(0..nodes.len())]);
        }
        let request = &self.requests[self.attempts.get(&attempt)?.request];
        let account = Some(self.accounts[request.account].clone());
        let node = &mut self.nodes[sender];
        if tried.is_empty() {
            node.retry_budget = (node.retry_budget + RETRY_RATIO).min(MAX_RETRY_BUDGET);
            let route = &self.routes[request.class.index()][hop];
            let pool = &self.pools[hop];
            if node.tracker.check(self.now, route, pool, request.class, &account).is_some() {
                return None;
            }
        }
        let exclude: Vec<id::Vm> = tried.iter().copied().map(vm_name).collect();
        let chosen = node.pickers[hop].pick(self.now, &exclude)?;
        self.nodes.iter().position(|node| node.vm == chosen)
    }

    /// Handles the arrival of a call at the node of its target: admits, queues or refuses it.
    pub(super) fn reach_node(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let node = call.node;
        match self.variant.control {
            Control::None => self.dispatch(call_id),
            Control::Static if self.nodes[node].in_flight < self.nodes[node].limit => {
                self.dispatch(call_id);
            }
            Control::Static => self.refuse_call(call_id),
            Control::Full => {
                let Some(request) = self.admission_request(call_id) else { return };
                let offered =
                    self.nodes[node].controller.offer(self.now, id::Call(call_id), &request);
                self.apply_releases(node, offered.releases);
                match offered.decision {
                    Decision::Run => self.dispatch(call_id),
                    Decision::Queued => {}
                    Decision::Refused(_) => self.refuse_call(call_id),
                }
            }
        }
    }

    fn admission_request(&self, call_id: u64) -> Option<Request> {
        let call = self.calls.get(&call_id)?;
        let attempt = self.attempts.get(&call.attempt)?;
        let request = &self.requests[attempt.request];
        let depth = if self.variant.is_deeper_first { call.hop as u8 } else { 0 };
        Some(Request {
            account: Some(self.accounts[request.account].clone()),
            weight: SOLD_RATES[request.account],
            class: request.class,
            deadline: attempt.deadline,
            depth,
        })
    }

    pub(super) fn apply_releases(&mut self, node: usize, releases: Vec<Release>) {
        debug_assert!(node < self.nodes.len());
        for release in releases {
            match release {
                Release::Run(call) => self.dispatch(call.0),
                Release::Refuse(call, _) => self.refuse_call(call.0),
            }
        }
    }

    /// Passes an admitted call to its target.
    fn dispatch(&mut self, call_id: u64) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.released_at = Some(self.now);
        let (node, hop) = (call.node, call.hop);
        self.nodes[node].in_flight += 1;
        let slowdown = self.slowdown(hop);
        match self.targets[node].receive(call_id, slowdown, &mut self.rng) {
            Disposition::Working(time) => self.start_work(call_id, time),
            Disposition::Waiting => {}
            Disposition::Shed => self.end_call(call_id, CallResult::Shed),
        }
    }

    fn start_work(&mut self, call_id: u64, time: Duration) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.is_working = true;
        self.counts.runs[call.hop] += 1;
        self.counts.work_s += time.as_secs_f64();
        if let Some(attempt) = self.attempts.get_mut(&call.attempt) {
            attempt.pools_run |= 1 << call.hop;
            attempt.work_s += time.as_secs_f64();
        }
        self.schedule(self.now + time, Event::WorkDone { call: call_id });
    }

    /// Handles the end of a call's own work: sends its nested call, or answers at the last hop.
    pub(super) fn finish_work(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let (attempt, hop, node, last) = (call.attempt, call.hop + 1, call.node, call.last_hop);
        if hop > last {
            self.end_call(call_id, CallResult::Ok);
            return;
        }
        self.nodes[node].controller.nested_call_started(self.now, id::Call(call_id));
        self.send(attempt, hop, node, Some(call_id), Vec::new());
    }

    /// Ends a call that was admitted to its target.
    fn end_call(&mut self, call_id: u64, kind: CallResult) {
        let Some(call) = self.calls.remove(&call_id) else { return };
        self.free_slot(call_id, &call);
        if self.has_full_control() {
            let latency = call.released_at.map_or(Duration::ZERO, |released| self.now - released);
            let node = &mut self.nodes[call.node];
            node.controller
                .report_load(ReportedLoad { load: self.case.reported_load.unwrap_or(1.0) });
            let completion = Completion { latency, kind };
            let releases = node.controller.complete(self.now, id::Call(call_id), completion);
            self.apply_releases(call.node, releases);
            self.report_to_sender(&call, kind);
        }
        match kind {
            CallResult::Ok => self.propagate_success(&call),
            CallResult::Cancelled => {}
            CallResult::Shed => self.retry_or_fail(call, true),
            CallResult::Failed | CallResult::Broken => self.retry_or_fail(call, false),
        }
    }

    fn free_slot(&mut self, call_id: u64, call: &Call) {
        if call.released_at.is_none() {
            return;
        }
        self.nodes[call.node].in_flight -= 1;
        if !call.is_working {
            self.targets[call.node].remove_queued(call_id);
            return;
        }
        self.targets[call.node].release();
        while let Some(next) = self.targets[call.node].next() {
            if self.calls.contains_key(&next) {
                let slowdown = self.slowdown(call.hop);
                let time = self.targets[call.node].begin(slowdown, &mut self.rng);
                self.start_work(next, time);
            }
        }
    }

    /// Updates the sender's picker and pressure tracker from a reply.
    fn report_to_sender(&mut self, call: &Call, kind: CallResult) {
        let Some(class) = self.class_of(call.attempt) else { return };
        let node = &mut self.nodes[call.node];
        let route = &self.routes[class.index()][call.hop];
        let reached = &self.pools[call.hop + 1..=call.last_hop];
        if kind == CallResult::Ok {
            node.tracker.record_reached_pools(route, reached);
        }
        let report = node.controller.pressure(self.now);
        let mut relayed = node.tracker.relayed_reports(self.now, route);
        let (vm, pool) = (node.vm.clone(), self.pools[call.hop].clone());
        let sender = &mut self.nodes[call.sender];
        let picker = &mut sender.pickers[call.hop];
        picker.call_finished(self.now, &vm, kind, Some(self.now - call.sent_at));
        picker.record_report(self.now, &vm, &report);
        if kind == CallResult::Ok {
            sender.tracker.record_reached_pools(route, reached);
        }
        relayed.push(RelayedReport { pool, vm, age: Duration::ZERO, report });
        for report in relayed {
            sender.tracker.record_report(self.now, report);
        }
    }

    fn propagate_success(&mut self, call: &Call) {
        match call.parent {
            Some(parent) => self.end_call(parent, CallResult::Ok),
            None => self.complete_attempt(call.attempt),
        }
    }

    /// Refuses a call that was not admitted to its target.
    fn refuse_call(&mut self, call_id: u64) {
        let Some(call) = self.calls.remove(&call_id) else { return };
        if self.has_full_control() {
            self.report_to_sender(&call, CallResult::Shed);
        }
        self.retry_or_fail(call, true);
    }

    /// Sends a call to another target, or fails it to its caller.
    fn retry_or_fail(&mut self, mut call: Call, is_refusal: bool) {
        call.tried.push(call.node);
        if self.try_take_retry(&call, is_refusal) {
            self.send(call.attempt, call.hop, call.sender, call.parent, call.tried);
        } else {
            self.propagate_failure(call.attempt, call.parent, is_refusal);
        }
    }

    fn try_take_retry(&mut self, call: &Call, is_refusal: bool) -> bool {
        if !self.has_full_control() {
            return call.tried.len() < SIMPLE_MAX_ATTEMPTS;
        }
        let Some(attempt) = self.attempts.get(&call.attempt) else { return false };
        let request = &self.requests[attempt.request];
        let account = Some(self.accounts[request.account].clone());
        let node = &mut self.nodes[call.sender];
        let is_limited =
            node.tracker.is_limited(self.now, &self.pools[call.hop], request.class, &account);
        let is_allowed = is_refusal
            && call.tried.len() < FULL_MAX_ATTEMPTS
            && !is_limited
            && node.retry_budget >= 1.0;
        node.retry_budget -= f64::from(u8::from(is_allowed));
        is_allowed
    }

    fn propagate_failure(&mut self, attempt: u64, parent: Option<u64>, is_refusal: bool) {
        match parent {
            Some(parent) => self.end_call(parent, CallResult::Failed),
            None => self.fail_attempt(attempt, is_refusal),
        }
    }

    /// Cancels a call and its nested calls.
    pub(super) fn cancel_call(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        let (child, node) = (call.child, call.node);
        if let Some(child) = child {
            self.cancel_call(child);
        }
        if self.nodes[node].controller.cancel(self.now, id::Call(call_id)) {
            if let Some(call) = self.calls.remove(&call_id) {
                self.report_to_sender(&call, CallResult::Cancelled);
            }
        } else {
            self.end_call(call_id, CallResult::Cancelled);
        }
    }
}
