@0xb5a1c97d0f3e6a42;
# Messages between proxy processes. Field numbers must never be reused; new
# protocol versions add fields or payloads at the end.

struct Envelope {
  union {
    hello @0 :Hello;
    proof @1 :Data;
    statementForward @2 :StatementForward;
    outcomeForward @3 :OutcomeForward;
    forwardAnswer @4 :ForwardAnswer;
    forwardCancel @5 :UInt64;
    instanceSilence @6 :InstanceSilence;
    exchange @7 :Exchange;
    # Another Envelope compressed with zlib.
    compressed @8 :Data;
    probe @9 :UInt64;
    probeReply @10 :UInt64;
  }
}

struct Hello {
  cluster @0 :Text;
  version @1 :UInt16;
  member @2 :Text;
  boot @3 :Text;
  nonce @4 :Data;
}

struct StatementForward {
  number @0 :UInt64;
  database @1 :Text;
  body @2 :Data;
  remainingMs @3 :Int64;
  strict @4 :Bool;
  attempt @5 :UInt16;
  neededTerm @6 :UInt64;
  neededPosition @7 :UInt64;
}

struct OutcomeForward {
  number @0 :UInt64;
  database @1 :Text;
  body @2 :Data;
  remainingMs @3 :Int64;
  attempt @4 :UInt16;
}

struct ForwardAnswer {
  number @0 :UInt64;
  attempt @1 :UInt16;
  answer @2 :Data;
  failure @3 :Text;
  reason @4 :Text;
}

struct InstanceSilence {
  group @0 :Text;
  silent @1 :List(Silence);
}

struct Silence {
  instance @0 :Text;
  silentMs @1 :Int64;
}

struct Exchange {
  number @0 :UInt32;
  echo @1 :UInt32;
  complete @2 :UInt64;
  proofAgeMs @3 :Int64;
  base @4 :Int64;
  full @5 :Bool;
  flagsHash @6 :UInt32;
  membersHash @7 :UInt32;
  policyRevision @8 :UInt64;
  ackedHash @9 :UInt32;
  ackedRevision @10 :UInt64;
  acked @11 :Data;
  ages @12 :Data;
  entries @13 :List(Entry);
  liveHash @14 :UInt32;
  wantsAgesMs @15 :UInt16;
}

struct Entry {
  key @0 :Text;
  value @1 :Text;
  revision @2 :UInt64;
  created @3 :UInt64;
  deleted @4 :Bool;
}
