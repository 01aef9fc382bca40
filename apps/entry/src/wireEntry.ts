import {
  address,
  availabilityZoneId,
  createLogger,
  LogThreshold,
  entryHostId,
  type RequestId,
} from "@heatherferry/common";
import { TicketSigner } from "@heatherferry/coordination";
import {
  constantTimeInvariants,
  defaultPolicies,
  initialState,
  isRefusedByHead,
  NODE_ROLE,
  type Effect,
  type NodeIdentity,
  type PeerSeed,
} from "@heatherferry/core";
import {
  AdminServer,
  ArrivalHandler,
  AttemptRunner,
  BodyBudgets,
  clientLimitsOf,
  GracefulExit,
  ConnectPeerLink,
  ConnectPeerServer,
  EventLoop,
  ForwardedCallers,
  ForwardRunner,
  HttpCallerServer,
  HttpPlatformTable,
  HttpTargetLink,
  InvariantWatch,
  LimitReporter,
  logUnreadableRow,
  LoopPeerHandler,
  newIncarnation,
  newSeed,
  NodeHealth,
  NodeMetrics,
  PeerRunner,
  RoutedCallers,
  TableRunner,
  TraceRecorder,
  type ArrivalFields,
  type RunningDaemon,
} from "@heatherferry/runners";
import { EntryEffects, TicketIssuer } from "./entryEffects.js";
import type { EntrySettings } from "./settings.js";

class EventLoopArrivals extends ArrivalHandler {
  loop: EventLoop | null = null;

  override arrived(arrival: ArrivalFields): void {
    this.loop?.handle({ type: "request/arrived", ...arrival });
  }

  override isRefusedByHead(arrival: ArrivalFields): boolean {
    return this.loop !== null && isRefusedByHead(this.loop.state, arrival);
  }

  override cancelled(requestId: RequestId): void {
    this.loop?.handle({ type: "request/cancelled", requestId });
  }

  override ticketsRequested(requestId: RequestId, count: number): void {
    this.loop?.handle({ type: "tickets/requested", requestId, count });
  }
}

class SigningTicketIssuer extends TicketIssuer {
  constructor(
    private readonly issuer: NodeIdentity,
    private readonly callers: HttpCallerServer,
  ) {
    super();
  }

  override issue(effect: Extract<Effect, { type: "tickets/issue" }>): void {
    const { requestId, firstSequence, count, expiresAtMs } = effect;
    const { entryHostId: issuerId, incarnation } = this.issuer;
    const tickets = Array.from({ length: count }, (_, index) => ({
      entryHostId: issuerId,
      incarnation,
      sequence: firstSequence + index,
      expiresAtMs,
    }));
    this.callers.sendTickets(requestId, tickets);
  }
}

const peerSeeds = (settings: EntrySettings): readonly PeerSeed[] =>
  (settings.peers.seeds ?? []).map((seed) => ({
    entryHostId: entryHostId(seed.id),
    peerAddress: address(seed.address),
  }));

const DEFAULT_MACHINE = { MEMORY_MB: 1_024, MAX_DESCRIPTORS: 4_096 } as const;

/**
 * Creates, connects and starts the components of an entry host.
 *
 * @param settings - Validated settings.
 * @returns The running entry host.
 */
export const wireEntry = async (settings: EntrySettings): Promise<RunningDaemon<EntrySettings>> => {
  const threshold = new LogThreshold(settings.log?.level);
  const log = createLogger("heatherferry-entry", threshold);
  const incarnation = newIncarnation();
  const arrivals = new EventLoopArrivals();
  const signer = new TicketSigner();
  const limitReporter = new LimitReporter(log);
  const limits = clientLimitsOf({
    memoryMb: settings.limits?.memory_mb ?? DEFAULT_MACHINE.MEMORY_MB,
    maxDescriptors: settings.limits?.max_descriptors ?? DEFAULT_MACHINE.MAX_DESCRIPTORS,
  });
  const bodies = new BodyBudgets(limits.bodyBudgetBytes);
  const httpCallers = new HttpCallerServer(
    incarnation,
    arrivals,
    signer,
    limits,
    bodies,
    limitReporter,
  );
  const callerAddress = await httpCallers.listen(settings.callers.host, settings.callers.port);
  const forwardedCallers = new ForwardedCallers(incarnation, signer);
  const callers = new RoutedCallers(httpCallers, forwardedCallers);
  const peerHandler = new LoopPeerHandler(forwardedCallers);
  const peerServer = new ConnectPeerServer(peerHandler, limits, bodies, limitReporter);
  const peerAddress = await peerServer.listen(settings.peers.host, settings.peers.port);

  const identity = {
    role: NODE_ROLE.ENTRY,
    entryHostId: entryHostId(settings.node.id),
    availabilityZone: availabilityZoneId(settings.node.availability_zone),
    incarnation,
    callerAddress: address(callerAddress),
    peerAddress,
  };
  const seed = newSeed();
  const state = initialState(identity, seed, EventLoop.nowMs());
  const metrics = new NodeMetrics(state);
  limitReporter.register(metrics.registry);
  const watch = new InvariantWatch(constantTimeInvariants(), metrics.registry, log);
  const trace =
    settings.trace === undefined
      ? null
      : new TraceRecorder(identity, seed, state.nowMs, settings.trace.max_bytes);
  const observers = trace === null ? [metrics, watch] : [trace, metrics, watch];
  const loop = new EventLoop(state, defaultPolicies(), observers);
  const table = new HttpPlatformTable(settings.platform.origin, logUnreadableRow(log));
  const targets = new HttpTargetLink();
  const peerLink = new ConnectPeerLink(identity);
  const peers = new PeerRunner(peerLink, loop);
  const admin = new AdminServer(metrics.registry, new NodeHealth(state), limitReporter, trace);
  const adminAddress = await admin.listen(settings.admin.host, settings.admin.port);

  const ended = new Promise<void>((resolve) => {
    const exitSwitch = new GracefulExit(
      [
        async () => {
          loop.stop();
          await callers.close();
        },
        async () => targets.close(),
        async () => peerLink.close(),
        async () => peerServer.close(),
        async () => table.close(),
        async () => admin.close(),
      ],
      resolve,
    );
    loop.runner = new EntryEffects({
      log,
      table: new TableRunner(table, loop),
      attempts: new AttemptRunner(callers, targets, loop),
      callers,
      peers,
      forwards: new ForwardRunner(callers, peerLink, loop, bodies),
      tickets: new SigningTicketIssuer(identity, httpCallers),
      exitHandler: exitSwitch,
    });
  });
  arrivals.loop = loop;
  peerHandler.begin(loop, peers);
  loop.handle({ type: "peers/seeded", seeds: peerSeeds(settings) });
  loop.start();
  log("info", "listening", { callers: callerAddress, peers: peerAddress, admin: adminAddress });
  return {
    shutDown: () => {
      log("info", "shuttingDown", {});
      httpCallers.beginShutdown();
      loop.handle({ type: "node/shutdownRequested" });
    },
    applySettings: (changed) => {
      threshold.level = changed.log?.level ?? new LogThreshold().level;
    },
    log,
    ended,
  };
};
