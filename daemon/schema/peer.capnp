@0xb7f3c2a95d1e8a64;
# What nodes say to each other. See docs/design/overview.md.

struct Field {
  name @0 :Data;
  value @1 :Data;
}

struct Offer {
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  account @2 :Text;
  # Empty on a route open to all.
  route @3 :Text;
  pool @4 :Text;
  class @5 :UInt8;
  idempotent @6 :Bool;
  remainingNanos @7 :UInt64;
  retries @8 :UInt8;
  depth @9 :UInt8;
  fingerprint @10 :UInt64;
  claim @11 :Data;
  # Empty for a request without an idempotency key.
}

struct Request {
  offer @0 :Offer;
  method @1 :Text;
  target @2 :Text;
  # The path and query as the caller sent them.
  fields @3 :List(Field);
  body @4 :Data;
}

struct Answer {
  status @0 :UInt16;
  fields @1 :List(Field);
  body @2 :Data;
}

struct Refusal {
  reason @0 :Text;
  mayHaveRun @1 :Bool;
  retryAfterNanos @2 :UInt64;
  # Zero for none.
}

struct Reply {
  union {
    answer @0 :Answer;
    refusal @1 :Refusal;
  }
  trailer @2 :Data;
}

interface Peer {
  call @0 (request :Request) -> (reply :Reply);
  exchange @1 (batch :Data) -> ();
  kept @2 (call :UInt64, incarnation :UInt64) -> (reply :Reply);
  # The answer that is kept for an earlier call. A refusal stands for none.
}

interface Gate {
  hello @0 (vm :Text, incarnation :UInt64, nonce :Data) -> (vm :Text, incarnation :UInt64, nonce :Data, proof :Data);
  enter @1 (proof :Data) -> (peer :Peer);
}
