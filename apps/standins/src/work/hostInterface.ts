import type { IncomingMessage } from "node:http";
import { JsonServer, type Reply } from "./jsonServer.js";
import type { WireResources } from "./workerTypes.js";

/** State of a host, as the platform's interface names it. */
export const HOST_STATE = { UP: "up", MOVING: "moving", MAINTENANCE: "upkeep" } as const;

const HOST_BOUND = { MOVE_MS: 1_500, MAINTENANCE_MS: 2_000 } as const;

/** A host that the platform's interface lists. */
export interface StandInHost {
  readonly machine: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: WireResources;
  pool: string;
  state: (typeof HOST_STATE)[keyof typeof HOST_STATE];
  /** Id of its worker; undefined while it runs none. */
  id?: string;
}

/** Starts and ends the workers of hosts that move or are maintained. */
export abstract class HostWorkers {
  /** Ends the worker of a host at once. */
  abstract end(host: StandInHost): void;

  /** Starts a worker on a host, in the pool that it belongs to, and sets the host's `id`. */
  abstract begin(host: StandInHost): void;

  /** Returns the hosts of a maintenance wave; null if there is no such wave. */
  abstract hostsOfWave(wave: number): readonly string[] | null;
}

const REFUSED = 400;
const CONFLICT = 409;

/** The platform's interface for hosts: lists them, moves them between pools, maintains them. */
export class HostInterface extends JsonServer {
  readonly hosts = new Map<string, StandInHost>();
  private readonly fences = new Map<string, number>();
  private readonly maintained = new Set<string>();
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(
    private readonly workers: HostWorkers,
    private readonly standbyPool: string,
  ) {
    super();
  }

  override async close(): Promise<void> {
    this.timers.forEach((timer) => {
      clearTimeout(timer);
    });
    await super.close();
  }

  protected override reply(
    _method: string,
    url: URL,
    body: unknown,
    headers: IncomingMessage["headers"],
  ): Reply {
    if (url.pathname === "/api/machines") {
      return { status: 200, body: { machines: [...this.hosts.values()] } };
    }
    const { machine, pool, wave } = body as { machine: string; pool?: string; wave?: number };
    const host = this.hosts.get(machine);
    if (host === undefined) {
      return { status: REFUSED };
    }
    const fence = Number(headers["fencing-token"]);
    if (fence < (this.fences.get(machine) ?? 0)) {
      return { status: CONFLICT, body: { reason: "fence" } };
    }
    this.fences.set(machine, fence);
    return wave === undefined ? this.move(host, pool ?? "") : this.maintain(host, wave);
  }

  private move(host: StandInHost, pool: string): Reply {
    if (host.pool === pool) {
      return { status: 200 };
    }
    if (host.state !== HOST_STATE.UP) {
      return { status: CONFLICT, body: { reason: "busy" } };
    }
    host.pool = pool;
    this.takeDown(host, HOST_STATE.MOVING, HOST_BOUND.MOVE_MS);
    return { status: 200 };
  }

  private maintain(host: StandInHost, wave: number): Reply {
    if (this.workers.hostsOfWave(wave)?.includes(host.machine) !== true) {
      return { status: CONFLICT, body: { reason: "wave" } };
    }
    const done = `${host.machine} ${wave}`;
    if (this.maintained.has(done)) {
      return { status: 200 };
    }
    if (host.state !== HOST_STATE.UP) {
      return { status: CONFLICT, body: { reason: "busy" } };
    }
    this.maintained.add(done);
    this.takeDown(host, HOST_STATE.MAINTENANCE, HOST_BOUND.MAINTENANCE_MS);
    return { status: 200 };
  }

  /** Ends a host's worker, and starts another one after a while unless the host is off then. */
  private takeDown(host: StandInHost, state: StandInHost["state"], forMs: number): void {
    host.state = state;
    this.workers.end(host);
    delete host.id;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      host.state = HOST_STATE.UP;
      if (host.pool !== this.standbyPool) {
        this.workers.begin(host);
      }
    }, forMs);
    this.timers.add(timer);
  }
}
