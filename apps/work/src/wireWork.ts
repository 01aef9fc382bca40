import {
  address,
  availabilityZoneId,
  createLogger,
  entryHostId,
  LOG_CLASS,
  LogThreshold,
} from "@heatherferry/common";
import {
  defaultPolicies,
  initialState,
  initialWorkloadState,
  NODE_ROLE,
  bodyBytesToRead,
  type CallArrival,
  type CallHead,
  type State,
} from "@heatherferry/core";
import {
  PlatformFront,
  PlatformHosts,
  PlatformStore,
  PlatformWorkers,
  type PlatformSettings,
} from "@heatherferry/platform";
import {
  AdminServer,
  CallHandler,
  GracefulExit,
  EventLoop,
  HealthSource,
  LimitReporter,
  LoopLoad,
  newIncarnation,
  newSeed,
  WorkEffects,
  WorkerAnswerDeferral,
  type RunningDaemon,
} from "@heatherferry/runners";
import { BoundedSink } from "./boundedSink.js";
import { LoopLoadReporter } from "./loopLoadReporter.js";
import { registerEvacuationMetrics } from "./evacuationMetrics.js";
import { registerClientMetrics } from "./clientMetrics.js";
import { registerHeldMetrics } from "./heldMetrics.js";
import { registerLoadMetrics } from "./loadMetrics.js";
import { OsProcessorTime } from "./processorTime.js";
import { registerRegistrationMetrics } from "./registrationMetrics.js";
import { registerRunTimeMetrics } from "./runTimeMetrics.js";
import { registerAdmissionMetrics } from "./admissionMetrics.js";
import { registerStarvationMetrics } from "./starvationMetrics.js";
import { WorkMetrics } from "./workMetrics.js";

const NO_ADDRESS = address("");

/** Offset of the last internal port, which serves the metrics; the deploy file relies on it. */
const METRICS_PORT_OFFSET = 10;

class LoopCallHandler extends CallHandler {
  loop: EventLoop | null = null;

  constructor(private readonly state: State) {
    super();
  }

  override bodyBytesToRead(head: CallHead, announcedBytes: number): number {
    const { work, nowMs } = this.state;
    return work === null ? 0 : bodyBytesToRead(work, nowMs, head, announcedBytes);
  }

  override arrived(call: CallArrival): void {
    this.loop?.handle({ type: "call/arrived", ...call });
  }

  override abandoned(callId: string): void {
    this.loop?.handle({ type: "call/abandoned", callId });
  }
}

class WorkHealth extends HealthSource {
  constructor(private readonly state: State) {
    super();
  }

  override notReadyReason(): string | null {
    return this.state.work?.ready === true ? null : "no fresh view of the catalog";
  }
}

/**
 * Creates, connects and starts the components of a node that serves submissions.
 *
 * @param settings - Validated settings.
 * @returns The running node.
 */
export const wireWork = async (
  settings: PlatformSettings,
): Promise<RunningDaemon<PlatformSettings>> => {
  const sink = new BoundedSink(settings.nodeName);
  const log = createLogger(settings.nodeName, new LogThreshold(), sink);
  const incarnation = newIncarnation();
  const state = initialState(
    {
      role: NODE_ROLE.WORK,
      entryHostId: entryHostId(settings.nodeName),
      availabilityZone: availabilityZoneId(settings.availabilityZone),
      incarnation,
      callerAddress: address(settings.callerAddress),
      peerAddress: NO_ADDRESS,
    },
    newSeed(),
    EventLoop.nowMs(),
  );
  state.work = initialWorkloadState(
    {
      holder: `${settings.nodeName}@${settings.ip}`,
      incarnation,
    },
    settings.bounds,
    settings.processorMilli,
    settings.heldBudgetBytes,
  );
  const metrics = new WorkMetrics(state, sink);
  const limitReporter = new LimitReporter(log);
  limitReporter.register(metrics.registry);
  const calls = new LoopCallHandler(state);
  const front = new PlatformFront(calls, incarnation, settings.clientLimits, limitReporter);
  registerClientMetrics(metrics.registry, front);
  const load = new LoopLoad();
  const processor = new OsProcessorTime();
  const loadReporter = new LoopLoadReporter(load, processor, log);
  registerStarvationMetrics(metrics.registry, state);
  registerEvacuationMetrics(metrics.registry, state);
  registerRunTimeMetrics(metrics.registry, state);
  registerAdmissionMetrics(metrics.registry, state);
  registerHeldMetrics(metrics.registry, state);
  registerLoadMetrics(metrics.registry, load, loadReporter, processor);
  const loop = new EventLoop(
    state,
    defaultPolicies(),
    [metrics, load, loadReporter],
    new WorkerAnswerDeferral(),
  );
  const store = new PlatformStore(settings.storeAddress, settings.linkMbps, log);
  registerRegistrationMetrics(metrics.registry, state, store);
  const workers = new PlatformWorkers();
  const hosts = new PlatformHosts(settings.hostsAddress, settings.nodeName);
  const admin = new AdminServer(metrics.registry, new WorkHealth(state), limitReporter);
  await front.listen(settings.callerAddress, settings.readyAddress);
  await admin.listen(settings.ip, settings.ownPorts[0] + METRICS_PORT_OFFSET);

  const ended = new Promise<void>((resolve) => {
    const exitSwitch = new GracefulExit(
      [
        async () => {
          loop.stop();
          log("info", "node.stopped", { incarnation }, LOG_CLASS.KEPT);
          await front.close();
        },
        async () => store.close(),
        async () => workers.close(),
        async () => hosts.close(),
        async () => admin.close(),
      ],
      resolve,
    );
    loop.runner = new WorkEffects({
      log,
      loop,
      store,
      workers,
      hosts,
      front,
      exitHandler: exitSwitch,
    });
  });
  calls.loop = loop;
  loop.start();
  log(
    "info",
    "node.started",
    { incarnation, zone: settings.availabilityZone, listens: settings.callerAddress },
    LOG_CLASS.KEPT,
  );
  return {
    shutDown: () => {
      log("info", "node.stopping", { incarnation }, LOG_CLASS.KEPT);
      front.beginShutdown();
      loop.handle({ type: "node/shutdownRequested" });
    },
    applySettings: ({ bounds, processorMilli }) => {
      loop.handle({ type: "node/settingsTaken", bounds, processorMilli });
    },
    log: (level, event, fields) => {
      log(level, event, fields, LOG_CLASS.KEPT);
    },
    ended,
  };
};
