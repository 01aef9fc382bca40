import {
  address,
  availabilityZoneId,
  createLogger,
  LogThreshold,
  entryHostId,
} from "@heatherferry/common";
import {
  defaultPolicies,
  initialState,
  maintainerInvariants,
  NODE_ROLE,
  type NodeIdentity,
} from "@heatherferry/core";
import {
  AdminServer,
  GracefulExit,
  EventLoop,
  FleetRunner,
  HttpHostDirectory,
  HttpPlatformTable,
  InvariantWatch,
  LimitReporter,
  logUnreadableRow,
  newIncarnation,
  newSeed,
  NodeHealth,
  NodeMetrics,
  TableRunner,
  type RunningDaemon,
} from "@heatherferry/runners";
import { MaintainerEffects } from "./maintainerEffects.js";
import type { MaintainerSettings } from "./settings.js";

const identityOf = (settings: MaintainerSettings): NodeIdentity => ({
  role: NODE_ROLE.MAINTAINER,
  entryHostId: entryHostId(settings.node.id),
  availabilityZone: availabilityZoneId(settings.node.availability_zone),
  incarnation: newIncarnation(),
  // A maintainer accepts connections only on its admin address.
  callerAddress: address(""),
  peerAddress: address(""),
});

/**
 * Creates, connects and starts the components of a maintainer.
 *
 * @param settings - Validated settings.
 * @returns The running maintainer.
 */
export const wireMaintainer = async (
  settings: MaintainerSettings,
): Promise<RunningDaemon<MaintainerSettings>> => {
  const threshold = new LogThreshold(settings.log?.level);
  const log = createLogger("heatherferry-maintainer", threshold);
  const state = initialState(identityOf(settings), newSeed(), EventLoop.nowMs());
  const metrics = new NodeMetrics(state);
  const watch = new InvariantWatch(maintainerInvariants(), metrics.registry, log);
  const loop = new EventLoop(state, defaultPolicies(), [metrics, watch]);
  const table = new HttpPlatformTable(settings.platform.origin, logUnreadableRow(log));
  const directory = new HttpHostDirectory(settings.platform.origin);
  const limitReporter = new LimitReporter(log);
  limitReporter.register(metrics.registry);
  const admin = new AdminServer(metrics.registry, new NodeHealth(state), limitReporter);
  const adminAddress = await admin.listen(settings.admin.host, settings.admin.port);

  const ended = new Promise<void>((resolve) => {
    const exitSwitch = new GracefulExit(
      [
        async () => {
          loop.stop();
          await directory.close();
        },
        async () => table.close(),
        async () => admin.close(),
      ],
      resolve,
    );
    loop.runner = new MaintainerEffects({
      log,
      table: new TableRunner(table, loop),
      fleet: new FleetRunner(directory, loop),
      exitHandler: exitSwitch,
    });
  });
  loop.start();
  log("info", "listening", { admin: adminAddress });
  return {
    shutDown: () => {
      log("info", "shuttingDown", {});
      loop.handle({ type: "node/shutdownRequested" });
    },
    applySettings: (changed) => {
      threshold.level = changed.log?.level ?? new LogThreshold().level;
    },
    log,
    ended,
  };
};
