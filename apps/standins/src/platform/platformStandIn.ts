import type { ServerResponse } from "node:http";
import { assertNever, hostId } from "@heatherferry/common";
import type { ListedHost } from "@heatherferry/core";
import { PLATFORM_PATH } from "@heatherferry/runners";
import { HTTP_STATUS } from "../http/constants.js";
import { ExchangeRegistry } from "../http/exchangeRegistry.js";
import { HttpStandIn, type PathParams } from "../http/httpStandIn.js";
import { readBody } from "../http/readBody.js";
import type { ExchangeId } from "../http/types.js";
import { CONTROL_PATH } from "./constants.js";
import { encodeAnswer } from "./encodeAnswer.js";
import type { HostPower } from "./hostPower.js";
import { initialPlatformState, NO_FAULTS } from "./initialPlatformState.js";
import { reducePlatform } from "./reducePlatform.js";
import { FAULTS_BODY, HOSTS_BODY, READ_BODY, WRITE_BODY } from "./schemas.js";
import type {
  Faults,
  PlatformAnswer,
  PlatformCall,
  PlatformCounters,
  PlatformStandInEffect,
  PlatformStandInEvent,
} from "./types.js";

/** HTTP server that simulates the platform: table, host list, reboots, objects and faults. */
export class PlatformStandIn extends HttpStandIn {
  private readonly state = initialPlatformState();
  private readonly exchanges = new ExchangeRegistry();

  /**
   * @param power - Power control of the hosts.
   * @param clockOffsetMs - Offset of the table's clock from the wall clock of this process;
   *   positive if the table's clock is ahead.
   */
  constructor(
    private readonly power: HostPower,
    private readonly clockOffsetMs = 0,
  ) {
    super();
    this.addTableRoutes();
    this.addHostRoutes();
    this.addObjectRoutes();
    this.addControlRoutes();
  }

  /** Counts of the calls so far. */
  get counters(): Readonly<PlatformCounters> {
    return this.state.counters;
  }

  /**
   * Replaces the injected faults.
   *
   * @param faults - Faults from now on; faults that are left out are off.
   * @param seed - Seed to restart the random numbers with; null to continue the sequence.
   */
  setFaults(faults: Partial<Faults>, seed: number | null = null): void {
    this.dispatch({
      type: "faults/set",
      atMs: this.nowMs(),
      faults: { ...NO_FAULTS, ...faults },
      seed,
    });
  }

  /** Replaces the hosts of the platform. */
  setHosts(hosts: readonly ListedHost[]): void {
    this.dispatch({ type: "hosts/set", atMs: this.nowMs(), hosts });
  }

  override async close(graceMs = 0): Promise<void> {
    await super.close(graceMs);
    await this.power.close();
  }

  private nowMs(): number {
    return Date.now() + this.clockOffsetMs;
  }

  private addTableRoutes(): void {
    this.jsonRoute("POST", PLATFORM_PATH.TABLE_READ, READ_BODY, ({ ranges }, response) => {
      this.call(response, { type: "table/readRequested", ranges });
    });
    this.jsonRoute("POST", PLATFORM_PATH.TABLE_WRITE, WRITE_BODY, (write, response) => {
      this.call(response, { type: "table/writeRequested", write });
    });
  }

  private addHostRoutes(): void {
    this.route("GET", PLATFORM_PATH.HOSTS, (_request, response) => {
      this.call(response, { type: "hosts/listRequested" });
    });
    this.route("POST", `${PLATFORM_PATH.HOSTS}/:hostId/reboot`, (_request, response, params) => {
      this.call(response, { type: "host/rebootRequested", hostId: hostId(params.hostId ?? "") });
    });
  }

  private addObjectRoutes(): void {
    const keyOf = (params: PathParams): string => params["*"] ?? "";
    this.route("PUT", `${PLATFORM_PATH.OBJECTS}/*`, async (request, response, params) => {
      const bytes = await readBody(request);
      this.call(response, { type: "object/putRequested", key: keyOf(params), bytes });
    });
    this.route("GET", `${PLATFORM_PATH.OBJECTS}/*`, (_request, response, params) => {
      this.call(response, { type: "object/getRequested", key: keyOf(params) });
    });
  }

  private addControlRoutes(): void {
    this.jsonRoute("PUT", CONTROL_PATH.FAULTS, FAULTS_BODY, ({ seed, ...faults }, response) => {
      this.sendJson(response, HTTP_STATUS.OK, faults);
      this.setFaults(faults, seed);
    });
    this.jsonRoute("POST", CONTROL_PATH.HOSTS, HOSTS_BODY, ({ hosts }, response) => {
      this.setHosts(hosts);
      this.sendJson(response, HTTP_STATUS.OK, {});
    });
    this.route("GET", CONTROL_PATH.COUNTERS, (_request, response) => {
      this.sendJson(response, HTTP_STATUS.OK, this.state.counters);
    });
  }

  private call(response: ServerResponse, call: PlatformCall): void {
    const exchangeId = this.exchanges.add(response);
    this.dispatch({ ...call, atMs: this.nowMs(), exchangeId });
  }

  private dispatch(event: PlatformStandInEvent): void {
    for (const effect of reducePlatform(this.state, event)) {
      this.execute(effect);
    }
  }

  private execute(effect: PlatformStandInEffect): void {
    switch (effect.type) {
      case "exchange/answer":
        this.runAfter(effect.delayMs, () => {
          this.send(effect.exchangeId, effect.answer);
        });
        return;
      case "exchange/destroy":
        this.runAfter(effect.delayMs, () => {
          this.exchanges.destroy(effect.exchangeId);
        });
        return;
      case "exchange/destroyAll":
        this.exchanges.destroyAll();
        return;
      case "host/powerCycle":
        void this.powerCycle(effect.host, effect.comesBack);
        return;
      default:
        assertNever(effect);
    }
  }

  private runAfter(delayMs: number, run: () => void): void {
    if (delayMs === 0) {
      run();
      return;
    }
    setTimeout(run, delayMs).unref();
  }

  private send(exchangeId: ExchangeId, answer: PlatformAnswer): void {
    const response = this.exchanges.find(exchangeId);
    if (response === undefined) {
      return;
    }
    const { statusCode, body } = encodeAnswer(answer);
    if (typeof body === "string") {
      this.sendText(response, statusCode, body);
      return;
    }
    response.writeHead(statusCode, { "content-length": body.byteLength });
    response.end(body);
  }

  private async powerCycle(host: ListedHost, comesBack: boolean): Promise<void> {
    const cameBack = await this.power.powerCycle(host, comesBack);
    this.dispatch({ type: "host/rebootEnded", atMs: this.nowMs(), hostId: host.hostId, cameBack });
  }
}
