@0xd1f4b3a86c0e5a27;

# The protocol between the system's own processes.
#
# An entry is a client of every agent that it may send requests to, and of some peer entries.
# All times are durations in microseconds: no clock is compared between processes.
#
# The generated files in generated/wire are committed; scripts/generate-wire makes them anew.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("seamarch::wire");

struct RequestId {
  entry @0 :UInt64;    # Incarnation of the entry that made the request.
  counter @1 :UInt64;
}

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
  ticket @12 :Text;            # Empty: the call carries no ticket.
  callerKey @13 :Text;
  agentIncarnation @14 :UInt64;  # The life of the agent that the entry means.
}

struct Verdict {
  accepted @0 :Bool;
  failure @1 :UInt16;        # A FailureCode; meaningful when not accepted.
  notRun @2 :Bool;           # The refusal proves that this request did not run.
  retryAfterMicros @3 :Int64;
  started @4 :Bool;          # It has started already; else it waits.
}

# A piece of an answer. A short answer is one part that has a head, a body and the end.
struct Part {
  hasHead @0 :Bool;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  end @4 :Bool;              # The answer is whole.
  failed @5 :Bool;           # The answer is over and not whole; the fields below say why.
  failure @6 :UInt16;
  notRun @7 :Bool;
  retryAfterMicros @8 :Int64;
}

struct Status {
  instance @0 :Text;
  incarnation @1 :UInt64;
  configVersion @2 :UInt64;
  configDigest @3 :UInt64;
  listVersion @4 :UInt64;
  listDigest @5 :UInt64;
  configFloor @6 :UInt64;    # The highest configuration version that it has heard of.
  wantsUpdate @7 :Bool;      # Asks the caller to offer what it knows more of.
  leaving @8 :Bool;
  queuedTokens @9 :UInt64;   # Prompt and expected answer tokens that wait.
  runningTokens @10 :UInt64;
  queuedRequests @11 :UInt32;
  runningRequests @12 :UInt32;
  tokensPerSecond @13 :Float64;
  slots @14 :UInt32;
  clockMicros @15 :Int64;    # The sender's monotonic clock; means something to the sender only.
  echoMicros @16 :Int64;     # The receiver's clock, as the sender last heard it.
  listAgeMicros @17 :Int64;  # How long ago the platform confirmed the list; negative: never.
}

# A version range (from, to] of a document.
struct Update {
  from @0 :UInt64;      # Version that the patch applies to; zero: `payload` is a whole document.
  to @1 :UInt64;        # Zero: there is no update.
  digest @2 :UInt64;    # XXH3 of the whole document at version `to`.
  payload @3 :Text;     # A JSON Patch (RFC 6902) or a whole document.
}

# Any two processes compare what they know through this interface.
interface Peer {
  # Compares versions. The answer carries an update when the responder knows a higher version; when
  # it does not, it may wait for one as long as the caller allows.
  # Of requests that end upstreams, those come that changed since `crashCursor`; another one stands
  # for having heard them.
  exchange @0 (status :Status, waitMicros :Int64, crashCursor :UInt64)
      -> (status :Status, config :Update, list :Update, crashes :List(CrashSuspect),
          crashCursor :UInt64);
  # Hands over updates because the peer asked for them. Returns what it then knows.
  offer @1 (config :Update, list :Update) -> (status :Status);
  # Hands over, unasked, requests that upstreams have just ended under.
  warn @2 (crashes :List(CrashSuspect)) -> ();
}

interface AnswerSink {
  # Returns when the receiver can take more of this answer.
  part @0 (id :RequestId, part :Part) -> ();
  # The agent has a free slot and nothing that waits for it.
  free @1 (status :Status) -> ();
}

interface Agent extends(Peer) {
  # Names the entry and where its answers go.
  open @0 (entryIncarnation :UInt64, sink :AnswerSink) -> ();
  start @1 (call :Call) -> (verdict :Verdict);
  # Cancels a request; leaves a tombstone, so that a late copy does not start. An agent of another
  # incarnation than the one meant proves nothing.
  cancel @2 (id :RequestId, agentIncarnation :UInt64) -> (notRun :Bool);
  # Takes a request back if it has not started; one that has started goes on undisturbed.
  withdraw @5 (id :RequestId, agentIncarnation :UInt64) -> (notRun :Bool);
  issueTicket @3 () -> (ticket :Text);
  # Asks for a key-home grant on a member set, and tells whether the asker holds a turn to reload.
  grant @4 (memberSet :UInt64, instance :Text, incarnation :UInt64, turnsReleased :UInt64,
            holdsTurn :Bool) -> (granted :Bool);
  # Asks for a turn to take an upstream out of service, or gives it back.
  turn @6 (instance :Text, incarnation :UInt64, number :UInt64) -> (given :Bool);
  releaseTurn @7 (instance :Text, incarnation :UInt64, number :UInt64) -> ();
}

# How often each expert of a rank was chosen between two moments, in a byte an expert: a group's
# counts must fit the narrow links of its agents.
struct ChoiceCounts {
  mark @0 :UInt64;           # Names the later moment; a question that carries it goes on from there.
  since @1 :UInt64;          # Names the earlier moment; zero: there is none, and nothing is counted.
  units @2 :List(Float32);   # By block of experts: the choices that one part stands for.
  parts @3 :Data;            # Set by set, one byte an expert.
}

# What the agent beside one rank of a group of engines tells of it.
struct RankState {
  known @0 :Bool;            # The rank has answered its agent; else nothing below is meant.
  rank @1 :UInt32;
  ranks @2 :UInt32;          # Of the group.
  epoch @3 :UInt64;          # Rises each time that the group forms.
  open @4 :Bool;             # The group takes requests.
  step @5 :UInt64;           # The last pass that began.
  map @6 :UInt64;            # Version of the expert map in use.
  prepared @7 :UInt64;       # Version whose experts are copied; zero: none.
  armed @8 :UInt64;          # Version that is to be taken at a step to come; zero: none.
  held @9 :Bool;             # The group waits before `heldStep`.
  heldStep @10 :UInt64;
  fence @11 :UInt64;         # The highest fence that the agent has handed to the rank.
  choices @12 :ChoiceCounts; # When asked for.
  experts @13 :List(List(UInt16));  # By set, those of this rank in `expertsMap`; when asked for.
  expertsMap @14 :UInt64;
  pace @15 :Float32 = 1.0;   # Over 1: the rank takes so many times as long for its work.
  group @16 :Text;           # The group that the rank is in now.
}

struct RankOrder {
  kind @0 :UInt16;           # A MapOrderKind.
  version @1 :UInt64;
  step @2 :UInt64;
  epoch @3 :UInt64;
  fence @4 :UInt64;
  experts @5 :Data;          # Of a prepare, by set and rank; see packExperts in src/experts.
  group @6 :Text;            # For a rank of this group only.
}

# Served by the agent beside a rank, for the agents beside the other ranks of its group.
interface RankAgent {
  # Only the agent that decides on a group's map asks. `askerRank` and `askerGroup` tell the other
  # agents of its group that it lives. With `counts`, the answer counts from the moment that
  # `countsSince` names. To an asker of another group the answer names only the group and the rank.
  state @0 (counts :Bool, experts :Bool, countsSince :UInt64, askerRank :UInt32, askerGroup :Text)
      -> (state :RankState);
  # Hands an order to the rank and returns what became of it, a MapOrderAnswer.
  order @1 (order :RankOrder) -> (status :UInt16);
  # Hands an order that copies experts to the agents of other ranks as well, because the link of
  # the agent that decides would carry it to all of them too slowly. Answers when they have.
  relay @2 (order :RankOrder, targets :List(RelayTarget)) -> (answers :List(RelayAnswer));
  # Tells a gateway of the group. The agent that decides answers with `decides` and `news`, at once
  # when the group's mark is not the one named, else after `waitMicros` or as soon as it changes.
  # Any other names the host of the agent that decides, where it knows one.
  group @3 (mark :UInt64, waitMicros :Int64)
      -> (decides :Bool, group :Text, deciderHost :Text, mark :UInt64, news :GroupNews);
}

# One rank of a group.
struct GroupMember {
  host @0 :Text;             # Of its engine.
  port @1 :UInt16;
  pace @2 :Float32 = 1.0;    # Over 1: the rank takes so many times as long for its work.
}

# How a group of engines fares, for gateways.
struct GroupNews {
  group @0 :Text;
  epoch @1 :UInt64;
  open @2 :Bool;             # It takes requests.
  ageMicros @3 :Int64;       # How long ago, at the answer, it was so.
  members @4 :List(GroupMember);  # By rank; left out where the asker named the same mark.
  forming @5 :Bool;          # It does not take requests yet, but all its ranks are there.
}

struct RelayTarget {
  rank @0 :UInt32;
  host @1 :Text;             # An IP number; agents of a group listen at one port.
}

struct RelayAnswer {
  rank @0 :UInt32;
  status @1 :UInt16;         # A MapOrderAnswer.
}

# A gateway, as others know it.
struct GatewayRecord {
  id @0 :Text;
  hall @1 :Text;
  host @2 :Text;             # An IP number; where it listens for the others.
  port @3 :UInt16;
  heardMicrosAgo @4 :Int64;  # How long ago it was last heard of.
}

struct ListedUpstream {
  id @0 :Text;
  service @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
  hall @4 :Text;
  slots @5 :UInt32;
  leaving @6 :Bool;
  startedUnixMillis @7 :Int64;  # As the upstream says; zero: it does not.
  tellsWarmUp @8 :Bool;      # The upstream tells how long it still warmed up,
  warmUpLeftMicros @9 :Int64;   # which was so long when it wrote its entry.
  warmInMicros @10 :Int64;   # It is warm so long after the answer, at the latest.
  listedAt @11 :UInt64;      # The store's revision at which it was listed, in its order; zero: not known.
  createdAt @12 :UInt64;     # The same, which names the entry, also in an older copy of the store.
}

# The end of an upstream's process.
struct UpstreamEnd {
  upstream @0 :UInt64;       # A digest of its id.
  microsAgo @1 :Int64;       # How long before the answer it ended.
}

# A request that upstreams have ended under.
struct CrashSuspect {
  digest @0 :UInt64;         # Requests that are the same to an upstream have the same one.
  account @1 :UInt64;        # A digest of the client account's id.
  ends @2 :List(UpstreamEnd);
  survived @3 :Bool;         # An upstream has run it to its end,
  survivedMicrosAgo @4 :Int64;  # this long before the answer.
}

# What an upstream says that it takes from all gateways together.
struct UpstreamLimit {
  upstream @0 :Text;
  startedUnixMillis @1 :Int64;  # Of the upstream as it spoke; zero: not known.
  named @2 :Bool;            # It names a limit; else none any more.
  perSecond @3 :Float64;
  saidMicrosAgo @4 :Int64;   # How long before the answer it was last said.
}

# What a gateway knows of the platform's store, for one that does not ask the store itself.
struct GatewayNews {
  known @0 :Bool;            # It has a configuration; else only `gateways` is meant.
  heldMicros @1 :Int64;      # How long the question waited for this answer.
  ageMicros @2 :Int64;       # How long ago, at the answer, the store confirmed all of it.
  revision @3 :UInt64;       # Of the store.
  configVersion @4 :UInt64;
  config @5 :Data;           # Deflated; when the asker's version is lower.
  configBytes @6 :UInt32;    # Before it was deflated.
  upstreamsMark @7 :UInt64;  # Names the state of the list of upstreams.
  upstreams @8 :List(ListedUpstream);  # When the asker names another state: the whole list, or
                                       # what has changed since the state `upstreamsSince`.
  gateways @9 :List(GatewayRecord);    # When asked for; the first is the one that answers. No more
                                       # than that one where the asker names the same set of them.
  groupsMark @10 :UInt64;    # Names what is known of the groups of engines, but for its age.
  groups @11 :List(GroupNews);         # All groups; without members when the asker names this mark.
  crashCursor @12 :UInt64;   # Stands for having heard `crashes` and all that came before.
  crashes @13 :List(CrashSuspect);     # Those that changed since the cursor that the asker names.
  era @14 :UInt64;           # Of the store, in which it counts revisions; zero: not known.
  limitsMark @15 :UInt64;    # Names what is known of limits.
  limits @16 :List(UpstreamLimit);     # All, when the asker names another mark.
  drainedHalls @17 :List(Text);        # Whose upstreams get nothing new; told with `upstreams`.
  gatewaysMark @18 :UInt64;  # Names the set of `gateways`; zero: not asked for, or not known.
  gatewayAges @19 :Data;     # Where the asker names the same set: how long ago each was heard of, in
                             # the order of the ids, in steps of 50 ms.
  upstreamsSince @20 :UInt64;          # Zero: `upstreams` is the whole list.
  removedUpstreams @21 :List(Text);    # Ids that are listed no more since that state.
}

# Served by each gateway for the others.
interface GatewayPeer {
  # Answers at once when it knows more than the asker says it does, else after `waitMicros`.
  exchange @0 (self :GatewayRecord, configVersion :UInt64, upstreamsMark :UInt64,
               wantsGateways :Bool, waitMicros :Int64, groupsMark :UInt64, crashCursor :UInt64,
               wantsLimits :Bool, limitsMark :UInt64, gatewaysMark :UInt64, takesChanges :Bool)
      -> (news :GatewayNews);
  # The caller has news that cannot wait until it is asked; the callee asks it at once.
  hasNews @1 (self :GatewayRecord) -> ();
  # Asks for permits to send to an upstream that names a limit. The callee answers as the one that
  # hands them out, whether or not it takes itself for that one.
  # `warmUpPerSecond`: the upstream warms up and takes so much meanwhile; zero: it is warm.
  permits @2 (self :GatewayRecord, limit :UpstreamLimit, wanted :UInt32,
              warmUpPerSecond :Float64)
      -> (granted :UInt32, askAgainMicros :Int64);
}
