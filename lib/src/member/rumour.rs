//! The queue of rumours to pass on.

use {
    crate::id,
    std::{cmp::Reverse, collections::HashMap},
};

/// How many times a rumour is sent per doubling of the number of VMs.
const SENDS_PER_DOUBLING: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Entry {
    sends: u32,
    is_urgent: bool,
    order: u64,
}

/// The VMs whose facts are still being spread, with at most one entry per VM.
#[derive(Debug, Default)]
pub(super) struct Queue {
    entries: HashMap<id::Vm, Entry>,
    order: u64,
}

impl Queue {
    /// Starts or restarts spreading the fact about a VM.
    pub fn push(&mut self, vm: &id::Vm, is_urgent: bool) {
        self.order += 1;
        let entry = Entry { sends: 0, is_urgent, order: self.order };
        self.entries.insert(vm.clone(), entry);
    }

    /// Stops spreading the fact about a VM.
    pub fn remove(&mut self, vm: &id::Vm) {
        self.entries.remove(vm);
    }

    /// Returns the number of facts that are still being spread.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Selects the VMs for one message and counts them as sent. Urgent ones come first, then the
    /// least often sent, then the newest.
    pub fn pick(&mut self, max: usize, members: usize) -> Vec<id::Vm> {
        let doublings = (members + 1).next_power_of_two().trailing_zeros();
        let limit = SENDS_PER_DOUBLING * doublings.max(1);
        let mut picked: Vec<_> = self.entries.iter().map(|(vm, e)| (vm.clone(), *e)).collect();
        picked.sort_by_key(|(_, e)| (Reverse(e.is_urgent), e.sends, Reverse(e.order)));
        picked.truncate(max);
        for (vm, entry) in &picked {
            let entry = Entry { sends: entry.sends + 1, ..*entry };
            if entry.sends >= limit {
                self.entries.remove(vm);
            } else {
                self.entries.insert(vm.clone(), entry);
            }
        }
        picked.into_iter().map(|(vm, _)| vm).collect()
    }
}
