@0xd1f4b3a86c0e5a27;

# The RPC protocol between the processes of seamarch.
#
# An entry is a client of every agent that it may send requests to, and of some peer entries.
# Times are sent as durations, mostly in microseconds, because the clocks of two processes are not
# comparable.
#
# The generated files in generated/wire are committed; scripts/generate-wire regenerates them.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("seamarch::wire");

# Identifies a request in all processes.
struct RequestId {
  entry @0 :UInt64;    # Incarnation of the entry that created the id.
  counter @1 :UInt64;
}

# A request as an entry sends it to an agent.
struct Call {
  id @0 :RequestId;
  account @1 :Text;
  target @2 :Text;
  method @3 :Text;
  path @4 :Text;
  contentType @5 :Text;
  body @6 :Data;
  promptTokens @7 :UInt32;
  maxTokens @8 :UInt32;
  priority @9 :UInt8;
  repeatable @10 :Bool;
  deadlineMicros @11 :Int64;
  ticket @12 :Text;            # Empty if the call has no ticket.
  callerKey @13 :Text;
  agentIncarnation @14 :UInt64;  # The incarnation of the agent that the call is meant for.
}

# The decision of an agent on a call.
struct Verdict {
  accepted @0 :Bool;
  failure @1 :UInt16;        # A FailureCode; valid only if not accepted.
  notRun @2 :Bool;           # The refusal proves that the request did not run.
  retryAfterMicros @3 :Int64;
  started @4 :Bool;          # The accepted request is running; otherwise it is queued.
}

# A part of an answer. A short answer is a single part with the head, the body and `end`.
struct Part {
  hasHead @0 :Bool;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  end @4 :Bool;              # The answer is complete.
  failed @5 :Bool;           # The answer ended incomplete; the fields below say why.
  failure @6 :UInt16;
  notRun @7 :Bool;
  retryAfterMicros @8 :Int64;
}

# The versions and the load of a process.
struct Status {
  instance @0 :Text;
  incarnation @1 :UInt64;
  configVersion @2 :UInt64;
  configDigest @3 :UInt64;
  listVersion @4 :UInt64;
  listDigest @5 :UInt64;
  configFloor @6 :UInt64;    # The highest configuration version known to exist.
  wantsUpdate @7 :Bool;      # Asks the caller to call `offer` with its higher versions.
  leaving @8 :Bool;
  queuedTokens @9 :UInt64;   # Prompt and expected answer tokens of queued requests.
  runningTokens @10 :UInt64;
  queuedRequests @11 :UInt32;
  runningRequests @12 :UInt32;
  tokensPerSecond @13 :Float64;
  slots @14 :UInt32;
  clockMicros @15 :Int64;    # The sender's monotonic clock; only the sender can interpret it.
  echoMicros @16 :Int64;     # The last `clockMicros` that the sender received from the receiver.
  listAgeMicros @17 :Int64;  # Time since the platform confirmed the list; negative: never.
}

# A version range (from, to] of a document.
struct Update {
  from @0 :UInt64;      # Version that the patch applies to; zero: `payload` is a whole document.
  to @1 :UInt64;        # Zero: there is no update.
  digest @2 :UInt64;    # XXH3 of the whole document at version `to`.
  payload @3 :Text;     # A JSON Patch (RFC 6902) or a whole document.
}

# Synchronizes versions, documents and crash records between any two processes.
interface Peer {
  # Compares versions. The answer contains an update for each document of which the callee has a
  # higher version. If there is nothing to report, the callee may hold the call for up to
  # `waitMicros` until something changes.
  # `crashes` contains the entries of the crash record that changed since the `crashCursor` of the
  # caller. The `crashCursor` of the answer is the one to pass in the next call.
  exchange @0 (status :Status, waitMicros :Int64, crashCursor :UInt64)
      -> (status :Status, config :Update, list :Update, crashes :List(CrashSuspect),
          crashCursor :UInt64);
  # Sends updates that the callee requested with `wantsUpdate`. Returns its status afterwards.
  offer @1 (config :Update, list :Update) -> (status :Status);
  # Pushes requests that were running on upstreams that have just crashed.
  warn @2 (crashes :List(CrashSuspect)) -> ();
}

# Served by an entry to an agent, which sends the answers of the entry's requests to it.
interface AnswerSink {
  # Returns when the receiver is ready for the next part of this answer.
  part @0 (id :RequestId, part :Part) -> ();
  # Notifies the entry that the agent has a free slot and an empty queue.
  free @1 (status :Status) -> ();
}

# Served by the agent of an upstream to entries and to the other agents.
interface Agent extends(Peer) {
  # Opens a session: identifies the entry and sets the sink for its answers.
  open @0 (entryIncarnation :UInt64, sink :AnswerSink) -> ();
  # Runs or queues a request, or refuses it.
  start @1 (call :Call) -> (verdict :Verdict);
  # Cancels a request and leaves a tombstone, so that a delayed copy does not start. `notRun` is
  # false if the agent has another incarnation than `agentIncarnation`, which proves nothing.
  cancel @2 (id :RequestId, agentIncarnation :UInt64) -> (notRun :Bool);
  # Cancels a request only if it has not started; otherwise it continues unaffected.
  withdraw @5 (id :RequestId, agentIncarnation :UInt64) -> (notRun :Bool);
  # Issues a ticket for one request.
  issueTicket @3 () -> (ticket :Text);
  # Requests a key-home grant for a member set, and reports whether the caller holds a reload permit
  # (a "turn") and how many it has released.
  grant @4 (memberSet :UInt64, instance :Text, incarnation :UInt64, turnsReleased :UInt64,
            holdsTurn :Bool) -> (granted :Bool);
  # Requests a permit to take an upstream out of service, or releases it.
  turn @6 (instance :Text, incarnation :UInt64, number :UInt64) -> (given :Bool);
  releaseTurn @7 (instance :Text, incarnation :UInt64, number :UInt64) -> ();
}

# How often each expert of a rank was chosen between two snapshots, quantized to one byte per
# expert because the counts of a group must fit the narrow links of its agents.
struct ChoiceCounts {
  mark @0 :UInt64;           # Identifies the later snapshot; to be passed as `countsSince`.
  since @1 :UInt64;          # Identifies the earlier snapshot; zero: none, and there are no counts.
  units @2 :List(Float32);   # Choices per quantization step, by block of experts.
  parts @3 :Data;            # Quantization steps, one byte per expert, set after set.
}

# The state of one rank of a group of engines, as reported by the agent beside it.
struct RankState {
  known @0 :Bool;            # The rank has answered its agent; otherwise the rest is unset.
  rank @1 :UInt32;
  ranks @2 :UInt32;          # The number of ranks of the group.
  epoch @3 :UInt64;          # Increases each time the group forms.
  open @4 :Bool;             # The group accepts requests.
  step @5 :UInt64;           # The last pass that has started.
  map @6 :UInt64;            # The version of the expert map in use.
  prepared @7 :UInt64;       # The version whose experts are copied; zero: none.
  armed @8 :UInt64;          # The version to switch to at a future step; zero: none.
  held @9 :Bool;             # The group is stopped before `heldStep`.
  heldStep @10 :UInt64;
  fence @11 :UInt64;         # The highest fence that the agent has passed to the rank.
  choices @12 :ChoiceCounts; # Only if requested.
  experts @13 :List(List(UInt16));  # The rank's experts in `expertsMap` by set; only if requested.
  expertsMap @14 :UInt64;    # The map version that `experts` refers to.
  pace @15 :Float32 = 1.0;   # The time for a given load relative to a healthy rank.
  group @16 :Text;           # The current group of the rank.
}

# An order of the deciding agent to one rank.
struct RankOrder {
  kind @0 :UInt16;           # A MapOrderKind.
  version @1 :UInt64;
  step @2 :UInt64;
  epoch @3 :UInt64;
  fence @4 :UInt64;
  experts @5 :Data;          # For a prepare: the map, encoded by packExperts in src/experts.
  group @6 :Text;            # A rank of another group must refuse the order.
}

# Served by the agent beside a rank, for the agents beside the other ranks of its group.
interface RankAgent {
  # Returns the state of the rank. Only the agent that decides on the map of the group calls this;
  # `askerRank` and `askerGroup` show the other agents of the group that it is alive. `counts` and
  # `experts` request those fields; the counts start at the snapshot `countsSince`. A caller of
  # another group gets only the group and the rank.
  state @0 (counts :Bool, experts :Bool, countsSince :UInt64, askerRank :UInt32, askerGroup :Text)
      -> (state :RankState);
  # Passes an order to the rank and returns the outcome, a MapOrderAnswer.
  order @1 (order :RankOrder) -> (status :UInt16);
  # Forwards an order that copies experts to the agents of other ranks, because sending it to all of
  # them over the link of the deciding agent would take too long. Returns when they have answered.
  relay @2 (order :RankOrder, targets :List(RelayTarget)) -> (answers :List(RelayAnswer));
  # Reports the state of the group to a gateway. The deciding agent returns `decides` and `news`, at
  # once if the mark of the group differs from `mark`, otherwise when it changes or after
  # `waitMicros`, with the time for which it held the call. Any other agent returns the host of the
  # deciding agent if it knows it.
  group @3 (mark :UInt64, waitMicros :Int64)
      -> (decides :Bool, group :Text, deciderHost :Text, mark :UInt64, news :GroupNews,
          heldMicros :Int64);
}

# One rank of a group.
struct GroupMember {
  host @0 :Text;             # The address of its engine.
  port @1 :UInt16;
  pace @2 :Float32 = 1.0;    # The time for a given load relative to a healthy rank.
}

# The state of a group of engines, for gateways.
struct GroupNews {
  group @0 :Text;
  epoch @1 :UInt64;
  open @2 :Bool;             # The group accepts requests.
  ageMicros @3 :Int64;       # The age of this state when the answer was sent.
  members @4 :List(GroupMember);  # By rank; omitted if the caller named the current mark.
  forming @5 :Bool;          # All ranks are present, but the group does not accept requests yet.
}

# An agent to forward an order to.
struct RelayTarget {
  rank @0 :UInt32;
  host @1 :Text;             # An IP address; all agents of a group listen on the same port.
}

# The outcome of a forwarded order at one rank.
struct RelayAnswer {
  rank @0 :UInt32;
  status @1 :UInt16;         # A MapOrderAnswer.
}

# A gateway, as known to other gateways.
struct GatewayRecord {
  id @0 :Text;
  hall @1 :Text;
  host @2 :Text;             # The IP address on which it listens for other gateways.
  port @3 :UInt16;
  heardMicrosAgo @4 :Int64;  # Time since it was last known to be alive.
}

# An upstream of the list in the platform's store.
struct ListedUpstream {
  id @0 :Text;
  service @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
  hall @4 :Text;
  slots @5 :UInt32;
  leaving @6 :Bool;
  startedUnixMillis @7 :Int64;  # As reported by the upstream; zero: not reported.
  tellsWarmUp @8 :Bool;      # `warmUpLeftMicros` is valid.
  warmUpLeftMicros @9 :Int64;   # Remaining warm-up when the upstream wrote its entry.
  warmInMicros @10 :Int64;   # Time from the answer until it is warm at the latest.
  listedAt @11 :UInt64;      # The store revision at which it was listed, which orders the
                             # entries; zero: unknown.
  createdAt @12 :UInt64;     # The store revision at which the entry was created; zero:
                             # unknown. Identifies the entry, also in an older copy of the
                             # store, whose revisions cannot be ordered against the others.
}

# A crash of an upstream.
struct UpstreamEnd {
  upstream @0 :UInt64;       # A hash of its id.
  microsAgo @1 :Int64;       # The age of the crash when the message was sent.
}

# A request that was running on upstreams when they crashed, or a prompt part of such requests.
struct CrashSuspect {
  digest @0 :UInt64;         # Equal for requests that are identical to an upstream, or that have
                             # this prompt part.
  account @1 :UInt64;        # A hash of the client account's id.
  ends @2 :List(UpstreamEnd);
  survived @3 :Bool;         # An upstream has completed it, successfully or not.
  survivedMicrosAgo @4 :Int64;  # The age of that when the message was sent.
  kind @5 :UInt8;            # 0: a request, 1: a prompt part. Receivers skip other kinds.
}

# The request rate that an upstream accepts from all gateways together.
struct UpstreamLimit {
  upstream @0 :Text;
  startedUnixMillis @1 :Int64;  # The start of the upstream that named the limit; zero: unknown.
  named @2 :Bool;            # It names a limit; false: it no longer does.
  perSecond @3 :Float64;
  saidMicrosAgo @4 :Int64;   # Time since the upstream last named it, when the message was sent.
}

# The state of the platform's store as known to a gateway, for gateways that do not poll the store.
struct GatewayNews {
  known @0 :Bool;            # A configuration is known; otherwise only `gateways` is valid.
  heldMicros @1 :Int64;      # How long the call was held before this answer.
  ageMicros @2 :Int64;       # Time since the store confirmed all of this, when the answer was sent.
  revision @3 :UInt64;       # The revision of the store.
  configVersion @4 :UInt64;
  config @5 :Data;           # Compressed with zlib; only if the caller's version is lower.
  configBytes @6 :UInt32;    # The uncompressed size of `config`.
  upstreamsMark @7 :UInt64;  # Identifies the state of the list of upstreams.
  upstreams @8 :List(ListedUpstream);  # If the caller named another state: the whole list, or the
                                       # changes since the state `upstreamsSince`.
  gateways @9 :List(GatewayRecord);    # If requested; the first is the callee. Only the callee if
                                       # the caller named the current set.
  groupsMark @10 :UInt64;    # Identifies the known state of the groups, except for its age.
  groups @11 :List(GroupNews);         # All groups; without members if the caller named this mark.
  crashCursor @12 :UInt64;   # To be passed in the next call; covers `crashes` and all before.
  crashes @13 :List(CrashSuspect);     # Entries that changed since the caller's cursor.
  era @14 :UInt64;           # The era of the store, in which revisions are counted; zero: unknown.
  limitsMark @15 :UInt64;    # Identifies the known state of the limits.
  limits @16 :List(UpstreamLimit);     # All limits, if the caller named another mark.
  drainedHalls @17 :List(Text);        # Upstreams there get no new requests; with `upstreams`.
  gatewaysMark @18 :UInt64;  # Identifies the set of `gateways`; zero: not requested or unknown.
  gatewayAges @19 :Data;     # If the caller named the current set: the time since each gateway was
                             # last known to be alive, ordered by id, in units of 50 ms.
  upstreamsSince @20 :UInt64;          # Base state of `upstreams`; zero: it is the whole list.
  removedUpstreams @21 :List(Text);    # Ids removed from the list since that state.
  demand @22 :Data;          # A statement of demand (demandmessage.h); absent if it is as before.
}

# Served by each gateway to the other gateways.
interface GatewayPeer {
  # Returns at once if the callee has newer state than the caller names, otherwise when it gets some
  # or after `waitMicros`. `takesChanges`: the caller accepts a delta of the list of upstreams.
  exchange @0 (self :GatewayRecord, configVersion :UInt64, upstreamsMark :UInt64,
               wantsGateways :Bool, waitMicros :Int64, groupsMark :UInt64, crashCursor :UInt64,
               wantsLimits :Bool, limitsMark :UInt64, gatewaysMark :UInt64, takesChanges :Bool,
               demand :Data)
      -> (news :GatewayNews);
  # Notifies the callee of urgent news; the callee calls `exchange` on the caller at once.
  hasNews @1 (self :GatewayRecord) -> ();
  # Requests permits to send to an upstream that names a limit. The callee acts as the issuer of the
  # permits, whether or not it considers itself the issuer.
  # `warmUpPerSecond` is the rate that the upstream accepts while it warms up; zero: it is warm.
  permits @2 (self :GatewayRecord, limit :UpstreamLimit, wanted :UInt32,
              warmUpPerSecond :Float64)
      -> (granted :UInt32, askAgainMicros :Int64);
}
