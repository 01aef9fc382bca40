import { randomBytes, randomInt } from "node:crypto";
import {
  address,
  availabilityZoneId,
  createLogger,
  entryHostId,
  incarnation,
  type JsonLogger,
} from "@heatherferry/common";
import {
  defaultPolicies,
  initialState,
  NODE_ROLE,
  type NodeIdentity,
  type State,
} from "@heatherferry/core";
import {
  AdminServer,
  EventLoop,
  FleetRunner,
  HealthSource,
  HttpHostDirectory,
  HttpPlatformTable,
  NodeMetrics,
  TableRunner,
} from "@heatherferry/runners";
import { ExitSwitch, MaintainerEffects } from "./maintainerEffects.js";
import type { MaintainerSettings } from "./settings.js";

const SEED_BOUND = 2 ** 31;
const INCARNATION_BYTES = 8;

class MaintainerHealth extends HealthSource {
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

/** A running maintainer. */
export interface Maintainer {
  /** Begins a graceful shutdown; the process exits when its leases are released. */
  readonly shutDown: () => void;
  /** Resolves when the maintainer has ended. */
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

const identityOf = (settings: MaintainerSettings): NodeIdentity => ({
  role: NODE_ROLE.MAINTAINER,
  entryHostId: entryHostId(settings.node.id),
  availabilityZone: availabilityZoneId(settings.node.availability_zone),
  incarnation: incarnation(randomBytes(INCARNATION_BYTES).toString("hex")),
  // A maintainer takes no calls but those of the admin server.
  callerAddress: address(""),
  peerAddress: address(""),
});

const logUnreadableRow =
  (log: JsonLogger) =>
  (key: string): void => {
    log("warn", "table.rowUnreadable", { key });
  };

/**
 * Makes the parts of a maintainer, joins them and starts them.
 *
 * @param settings - Checked settings.
 * @returns The running maintainer.
 */
export const wireMaintainer = async (settings: MaintainerSettings): Promise<Maintainer> => {
  const log = createLogger("heatherferry-maintainer", settings.log?.level);
  const state = initialState(identityOf(settings), randomInt(SEED_BOUND), EventLoop.nowMs());
  const metrics = new NodeMetrics(state);
  const loop = new EventLoop(state, defaultPolicies(), [metrics]);
  const table = new HttpPlatformTable(settings.platform.origin, logUnreadableRow(log));
  const directory = new HttpHostDirectory(settings.platform.origin);
  const admin = new AdminServer(metrics.registry, new MaintainerHealth(state));
  const adminAddress = await admin.listen(settings.admin.host, settings.admin.port);

  const ended = new Promise<void>((resolve) => {
    const exitSwitch = new ClosingExit(
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
      exitSwitch,
    });
  });
  loop.start();
  log("info", "listening", { admin: adminAddress });
  return {
    shutDown: () => {
      log("info", "shuttingDown", {});
      loop.handle({ type: "node/shutdownRequested" });
    },
    ended,
  };
};
