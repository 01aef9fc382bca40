import {
  availabilityZoneId,
  hostId,
  rackId,
  type AvailabilityZoneId,
  type HostId,
} from "@heatherferry/common";
import type { ListedHost } from "@heatherferry/core";
import { HTTP_STATUS } from "../http/constants.js";
import { HttpStandIn } from "../http/httpStandIn.js";
import { TARGET_CONTROL_PATH } from "./constants.js";
import { BEHAVIOUR_BODY, TargetStandIn } from "./targetStandIn.js";
import type { TargetCounters } from "./types.js";

/** Targets to host in one process: the same number for each service, all in one zone. */
export interface FleetPlan {
  readonly availabilityZone: string;
  readonly services: readonly string[];
  readonly targetsPerService: number;
  readonly slots: number;
  readonly hostsPerRack: number;
}

/** Runs by tag and counters, over all targets of a fleet. */
export interface FleetTotals extends TargetCounters {
  readonly runs: Readonly<Record<string, number>>;
}

interface FleetTarget {
  readonly hostId: HostId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly rack: ListedHost["rack"];
  readonly slots: number;
  readonly standIn: TargetStandIn;
}

const planTargets = (plan: FleetPlan): readonly FleetTarget[] =>
  plan.services.flatMap((service) =>
    Array.from({ length: plan.targetsPerService }, (_, index) => ({
      hostId: hostId(`${service}-${plan.availabilityZone}-${index + 1}`),
      availabilityZone: availabilityZoneId(plan.availabilityZone),
      rack: rackId(
        `${service}-${plan.availabilityZone}-r${Math.floor(index / plan.hostsPerRack) + 1}`,
      ),
      slots: plan.slots,
      standIn: new TargetStandIn(plan.slots),
    })),
  );

const sumRunsByTag = (targets: readonly FleetTarget[]): Record<string, number> => {
  const runs = new Map<string, number>();
  for (const { standIn } of targets) {
    standIn.runsByTag.forEach((count, tag) => runs.set(tag, (runs.get(tag) ?? 0) + count));
  }
  return Object.fromEntries(runs);
};

/** Targets in one process, each on its own port, with one control port for all of them. */
export class TargetFleet extends HttpStandIn {
  private readonly targets: readonly FleetTarget[];

  constructor(plan: FleetPlan) {
    super();
    this.targets = planTargets(plan);
    this.addControlRoutes();
  }

  override async listen(port?: number, host?: string): ReturnType<HttpStandIn["listen"]> {
    await Promise.all(this.targets.map(({ standIn }) => standIn.listen(0, host)));
    return super.listen(port, host);
  }

  override async close(graceMs = 0): Promise<void> {
    await Promise.all(this.targets.map(({ standIn }) => standIn.close(graceMs)));
    await super.close(graceMs);
  }

  /** Returns the targets in the form of the platform's host list. */
  listedHosts(): readonly ListedHost[] {
    return this.targets.map(({ standIn, ...host }) => ({
      ...host,
      address: standIn.address,
      state: "live",
    }));
  }

  /** Returns the target on a host, or undefined if the fleet has no such host. */
  findTarget(id: HostId): TargetStandIn | undefined {
    return this.targets.find((target) => target.hostId === id)?.standIn;
  }

  /** Returns the runs by tag and the counters; `peakRunning` is the peak of a single target. */
  totals(): FleetTotals {
    const counters = this.targets.map(({ standIn }) => standIn.counters);
    const total = (key: keyof TargetCounters): number =>
      counters.reduce((sum, counter) => sum + counter[key], 0);
    return {
      runs: sumRunsByTag(this.targets),
      refusedFull: total("refusedFull"),
      cutOff: total("cutOff"),
      hungUp: total("hungUp"),
      peakRunning: Math.max(0, ...counters.map((counter) => counter.peakRunning)),
      reboots: total("reboots"),
    };
  }

  private addControlRoutes(): void {
    this.route("GET", TARGET_CONTROL_PATH.HOSTS, (_request, response) => {
      this.sendJson(response, HTTP_STATUS.OK, { hosts: this.listedHosts() });
    });
    this.route("GET", TARGET_CONTROL_PATH.RUNS, (_request, response) => {
      this.sendJson(response, HTTP_STATUS.OK, this.totals());
    });
    this.jsonRoute("PUT", TARGET_CONTROL_PATH.BEHAVIOUR, BEHAVIOUR_BODY, (body, response) => {
      this.targets.forEach(({ standIn }) => {
        standIn.setBehaviour(body.behaviour);
      });
      this.sendJson(response, HTTP_STATUS.OK, body);
    });
  }
}
