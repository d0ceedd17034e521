//! The way of a request from its caller to a target and back.

use {
    super::{
        Mesh,
        adapter::{Directory, HeaderAdapter},
        frame::{Answer as PeerAnswer, Ask, End},
        link,
    },
    crate::{
        clock,
        http::message::{Answer, Request},
    },
    bytes::Bytes,
    monsoon_lib::{
        call::{Reason, Refusal},
        mesh::node::{Call, Head, Next, Returned, Send},
        time::Instant,
    },
    std::rc::Rc,
};

/// What the caller gets.
#[derive(Debug)]
pub enum Reply {
    /// A target's answer.
    Answer(Answer),
    /// A refusal.
    Refused(Refusal),
}

/// A send that is under way. Where the caller leaves, dropping it tells the node.
struct UnderWay<'a, N: HeaderAdapter, D: Directory> {
    mesh: &'a Mesh<N, D>,
    call: &'a mut Call,
    send: Send,
    started: Instant,
    is_over: bool,
}

impl<N: HeaderAdapter, D: Directory> Drop for UnderWay<'_, N, D> {
    fn drop(&mut self) {
        if !self.is_over {
            let now = clock::now();
            let latency = now - self.started;
            log::info!(
                request = self.call.request.as_str(), target = self.send.target.as_str();
                "the caller left, cancelled"
            );
            self.mesh.node.borrow_mut().cancelled(now, self.call, &self.send, latency);
        }
    }
}

impl<N: HeaderAdapter, D: Directory> Mesh<N, D> {
    /// Serves a request. Dropping the future cancels it.
    pub async fn relay(self: &Rc<Self>, head: &Head, request: Request) -> Reply {
        let admitted = self.node.borrow_mut().admit(clock::now(), head);
        let mut call = match admitted {
            Ok(call) => call,
            Err(refusal) => {
                self.log_refusal(head, &refusal, None);
                return Reply::Refused(refusal);
            }
        };
        let request = Rc::new(request);
        // The failure of a target, which goes to the caller unless another target answers.
        let mut failure = None;
        loop {
            let send = {
                let quiet = self.links.quiet();
                self.node.borrow_mut().send(clock::now(), &mut call, &quiet)
            };
            let send = match send {
                Ok(send) => send,
                Err(refusal) => return self.end(head, &call, failure, refusal),
            };
            let (next, end, body) = self.send(&mut call, send, &request).await;
            if let End::Answered { status, fields, .. } = end {
                failure = Some(Answer { status, fields, body });
            }
            match (next, failure.take()) {
                (Next::Answer, Some(answer)) => return Reply::Answer(answer),
                (Next::Answer, None) => {
                    return Reply::Refused(Refusal::unknown(Reason::Broken));
                }
                (Next::Refuse(refusal), kept) => return self.end(head, &call, kept, refusal),
                (Next::Again, kept) => failure = kept,
            }
        }
    }

    fn end(&self, head: &Head, call: &Call, failure: Option<Answer>, refusal: Refusal) -> Reply {
        if let Some(answer) = failure {
            return Reply::Answer(answer);
        }
        self.log_refusal(head, &refusal, Some(call));
        Reply::Refused(refusal)
    }

    async fn send(
        self: &Rc<Self>,
        call: &mut Call,
        send: Send,
        request: &Rc<Request>,
    ) -> (Next, End, Bytes) {
        let started = clock::now();
        let served = self.node.borrow().served(started, call, &send);
        let mut under_way = UnderWay { mesh: self, call, send, started, is_over: false };
        let (end, body) = match under_way.send.is_own {
            true => self.run_own(&served, request).await,
            false => self.run_at_peer(&under_way.send, served, request).await,
        };
        under_way.is_over = true;
        let now = clock::now();
        let returned = returned(&end);
        let next = self.node.borrow_mut().returned(
            now,
            under_way.call,
            &under_way.send,
            returned,
            now - started,
        );
        if next != Next::Answer {
            log::info!(
                request = under_way.call.request.as_str(),
                target = under_way.send.target.as_str(),
                end:? = returned,
                next:? = next;
                "a send failed"
            );
        }
        (next, end, body)
    }

    async fn run_at_peer(
        &self,
        send: &Send,
        served: monsoon_lib::mesh::node::Served,
        request: &Request,
    ) -> (End, Bytes) {
        let ask = Ask::Run {
            served,
            method: request.method.clone(),
            target: request.target.clone(),
            fields: request.fields.clone(),
        };
        match self.links.ask(send.host, ask, request.body.clone()).await {
            Ok((PeerAnswer::Ended { end, load, is_traced }, body)) => {
                let now = clock::now();
                let mut node = self.node.borrow_mut();
                node.peers_mut().heard(now, send.host, None);
                if let End::Refused(Refusal { reason: Reason::Leaving, .. }) = end {
                    node.peers_mut().leaving(now, send.host);
                }
                if is_traced {
                    node.runs().traced_elsewhere(now);
                }
                if let Some(load) = load {
                    node.report(now, &send.target, &load);
                }
                (end, body)
            }
            Ok(_) => {
                log::warn!(host:% = send.host; "a peer gave an answer of the wrong kind");
                (End::Lost(Reason::Broken), Bytes::new())
            }
            Err(error) => {
                self.lost(send.host, &error.to_string());
                let end = match error {
                    link::Error::Unreachable(..) => {
                        End::Refused(Refusal::not_run(Reason::NoTarget))
                    }
                    link::Error::Broken(_) => End::Lost(Reason::Broken),
                };
                (end, Bytes::new())
            }
        }
    }

    fn log_refusal(&self, head: &Head, refusal: &Refusal, call: Option<&Call>) {
        let node = self.node.borrow();
        let now = clock::now();
        let age = node.lease().age(now).map(|age| age.as_millis() as u64);
        let revision = node.table().map(|table| table.revision().0);
        let route = call.map_or("none", |call| call.route.name.as_str());
        let account = head.key.as_ref().zip(node.table());
        let account = account.and_then(|(key, table)| table.account_of(key));
        let account = account.map_or("none", |account| account.name.as_str());
        let wait = refusal.retry_after.map(|wait| wait.as_millis() as u64);
        log::info!(
            request = head.request.as_str(),
            reason = refusal.reason.as_str(),
            outcome = refusal.outcome.as_str(),
            retry_after_ms:? = wait,
            route,
            account,
            tables:? = revision,
            confirmed_age_ms:? = age;
            "refused"
        );
    }
}

fn returned(end: &End) -> Returned {
    match end {
        End::Answered { has_failed, .. } => Returned::Answered { has_failed: *has_failed },
        End::Refused(refusal) => Returned::Refused(*refusal),
        End::Declined(refusal) => Returned::Declined(*refusal),
        End::Lost(reason) => Returned::Lost(*reason),
    }
}
