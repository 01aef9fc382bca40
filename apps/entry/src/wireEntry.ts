import { randomBytes, randomInt } from "node:crypto";
import {
  address,
  availabilityZoneId,
  createLogger,
  entryHostId,
  incarnation,
  type JsonLogger,
  type RequestId,
} from "@heatherferry/common";
import {
  cheapInvariants,
  defaultPolicies,
  initialState,
  NODE_ROLE,
  type PeerSeed,
  type State,
} from "@heatherferry/core";
import {
  AdminServer,
  ArrivalHandler,
  AttemptRunner,
  ConnectPeerLink,
  ConnectPeerServer,
  EventLoop,
  HealthSource,
  HttpCallerServer,
  HttpPlatformTable,
  HttpTargetLink,
  InvariantWatch,
  LoopPeerHandler,
  NodeMetrics,
  PeerRunner,
  TableRunner,
  TraceRecorder,
  type ArrivalFields,
} from "@heatherferry/runners";
import { EntryEffects, ExitSwitch } from "./entryEffects.js";
import type { EntrySettings } from "./settings.js";

const SEED_BOUND = 2 ** 31;
const INCARNATION_BYTES = 8;

class LoopArrivals extends ArrivalHandler {
  loop: EventLoop | null = null;

  override arrived(arrival: ArrivalFields): void {
    this.loop?.handle({ type: "request/arrived", ...arrival });
  }

  override cancelled(requestId: RequestId): void {
    this.loop?.handle({ type: "request/cancelled", requestId });
  }
}

class EntryHealth extends HealthSource {
  constructor(private readonly state: State) {
    super();
  }

  override notReadyBecause(): string | null {
    if (this.state.node.leavingSinceMs !== null) {
      return "shutting down";
    }
    return this.state.revisions.revision === 0 ? "no rules yet" : null;
  }
}

/** A running entry host. */
export interface EntryHost {
  /** Begins a graceful shutdown; the process exits when nothing is in flight. */
  readonly shutDown: () => void;
  /** Resolves when the entry host has ended. */
  readonly ended: Promise<void>;
}

/** Closes what was opened, in the order in which others depend on it. */
class ClosingExit extends ExitSwitch {
  private closing = false;

  constructor(
    private readonly closers: readonly (() => Promise<void>)[],
    private readonly onClosed: () => void,
  ) {
    super();
  }

  override exit(): void {
    if (!this.closing) {
      this.closing = true;
      void this.closeAll();
    }
  }

  private async closeAll(): Promise<void> {
    for (const close of this.closers) {
      await close();
    }
    this.onClosed();
  }
}

const logUnreadableRow =
  (log: JsonLogger) =>
  (key: string): void => {
    log("warn", "table.rowUnreadable", { key });
  };

const peerSeeds = (settings: EntrySettings): readonly PeerSeed[] =>
  (settings.peers.seeds ?? []).map((seed) => ({
    entryHostId: entryHostId(seed.id),
    peerAddress: address(seed.address),
  }));

/**
 * Makes the parts of an entry host, joins them and starts them.
 *
 * @param settings - Checked settings.
 * @returns The running entry host.
 */
export const wireEntry = async (settings: EntrySettings): Promise<EntryHost> => {
  const log = createLogger("heatherferry-entry", settings.log?.level);
  const life = incarnation(randomBytes(INCARNATION_BYTES).toString("hex"));
  const arrivals = new LoopArrivals();
  const callers = new HttpCallerServer(life, arrivals);
  const callerAddress = await callers.listen(settings.callers.host, settings.callers.port);
  const peerHandler = new LoopPeerHandler();
  const peerServer = new ConnectPeerServer(peerHandler);
  const peerAddress = await peerServer.listen(settings.peers.host, settings.peers.port);

  const identity = {
    role: NODE_ROLE.ENTRY,
    entryHostId: entryHostId(settings.node.id),
    availabilityZone: availabilityZoneId(settings.node.availability_zone),
    incarnation: life,
    callerAddress: address(callerAddress),
    peerAddress,
  };
  const seed = randomInt(SEED_BOUND);
  const state = initialState(identity, seed, EventLoop.nowMs());
  const metrics = new NodeMetrics(state);
  const watch = new InvariantWatch(cheapInvariants(), metrics.registry, log);
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
  const admin = new AdminServer(metrics.registry, new EntryHealth(state), trace);
  const adminAddress = await admin.listen(settings.admin.host, settings.admin.port);

  const ended = new Promise<void>((resolve) => {
    const exitSwitch = new ClosingExit(
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
      exitSwitch,
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
      callers.beginLeaving();
      loop.handle({ type: "node/shutdownRequested" });
    },
    ended,
  };
};
