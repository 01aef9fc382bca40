import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { assertNever } from "@heatherferry/common";
import { xoroshiro128plus } from "pure-rand";
import { z } from "zod";
import { HTTP_STATUS } from "../http/constants.js";
import { ExchangeRegistry } from "../http/exchangeRegistry.js";
import { HttpStandIn } from "../http/httpStandIn.js";
import { readBody } from "../http/readBody.js";
import type { ExchangeId } from "../http/types.js";
import { nextFraction } from "../random.js";
import { behaviourOf } from "./behaviours/behaviourOf.js";
import {
  NOT_RUN_FULL,
  TARGET,
  TARGET_BEHAVIOUR,
  TARGET_CONTROL_PATH,
  WORK_HEADER,
} from "./constants.js";
import { decodeWork } from "./decodeWork.js";
import { initialTargetState, reduceTarget } from "./reduceTarget.js";
import type { TargetBehaviourName, TargetCounters, TargetEffect, TargetEvent } from "./types.js";

/** Body of `PUT /control/behaviour`. */
export const BEHAVIOUR_BODY = z.strictObject({ behaviour: z.enum(TARGET_BEHAVIOUR) });

const REBOOT_BODY = z.strictObject({ comesBack: z.boolean() });

/** HTTP server that simulates a target with slots and a behaviour, and counts runs by tag. */
export class TargetStandIn extends HttpStandIn {
  private readonly state;
  private readonly exchanges = new ExchangeRegistry();
  private readonly timers = new Map<ExchangeId, NodeJS.Timeout>();
  private readonly random = xoroshiro128plus(TARGET.DEFAULT_SEED);
  private readonly silencedSockets = new WeakSet<Socket>();

  /**
   * @param slots - Largest number of requests that run at the same time; the target refuses more
   *   as not run.
   * @param rebootMs - Duration of a reboot.
   */
  constructor(
    slots: number = TARGET.DEFAULT_SLOTS,
    private readonly rebootMs: number = TARGET.REBOOT_MS,
  ) {
    super();
    this.state = initialTargetState(slots);
    this.addControlRoutes();
  }

  /** Number of runs so far, by tag. */
  get runsByTag(): ReadonlyMap<string, number> {
    return this.state.runsByTag;
  }

  get counters(): Readonly<TargetCounters> {
    return this.state.counters;
  }

  /** Number of running requests. */
  get running(): number {
    return this.state.running.size;
  }

  /** Sets the behaviour for requests that arrive from now on. */
  setBehaviour(behaviour: TargetBehaviourName): void {
    this.dispatch({ type: "behaviour/set", behaviour });
  }

  /** Stops reading and answering requests on the open connections; new ones work normally. */
  silenceOpenConnections(): void {
    this.openSockets().forEach((socket) => this.silencedSockets.add(socket));
  }

  override async close(graceMs = 0): Promise<void> {
    if (graceMs === 0) {
      this.dispatch({ type: "stop/elapsed" });
      await super.close();
      return;
    }
    const graceTimer = setTimeout(() => {
      this.dispatch({ type: "stop/elapsed" });
    }, graceMs);
    await super.close(graceMs);
    clearTimeout(graceTimer);
  }

  protected override handleUnmatchedPath(request: IncomingMessage, response: ServerResponse): void {
    void this.receiveWork(request, response);
  }

  private addControlRoutes(): void {
    this.route("GET", TARGET_CONTROL_PATH.RUNS, (_request, response) => {
      const runs = Object.fromEntries(this.state.runsByTag);
      this.sendJson(response, HTTP_STATUS.OK, { runs, ...this.state.counters });
    });
    this.jsonRoute("PUT", TARGET_CONTROL_PATH.BEHAVIOUR, BEHAVIOUR_BODY, (body, response) => {
      this.setBehaviour(body.behaviour);
      this.sendJson(response, HTTP_STATUS.OK, body);
    });
    this.route("POST", TARGET_CONTROL_PATH.SILENCE, (_request, response) => {
      this.sendJson(response, HTTP_STATUS.OK, {});
      this.silenceOpenConnections();
    });
    this.jsonRoute("POST", TARGET_CONTROL_PATH.REBOOT, REBOOT_BODY, ({ comesBack }, response) => {
      const exchangeId = this.exchanges.add(response);
      this.dispatch({ type: "reboot/requested", exchangeId, comesBack });
    });
  }

  private async receiveWork(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.silencedSockets.has(request.socket)) {
      return;
    }
    try {
      await readBody(request);
    } catch {
      request.socket.destroy();
      return;
    }
    this.startWork(request, response);
  }

  private startWork(request: IncomingMessage, response: ServerResponse): void {
    const exchangeId = this.exchanges.add(response);
    response.once("close", () => {
      this.dispatch({ type: "request/connectionLost", exchangeId });
    });
    this.dispatch({
      type: "request/arrived",
      exchangeId,
      work: decodeWork(request.headers),
      jitterFraction: nextFraction(this.random),
    });
  }

  private dispatch(event: TargetEvent): void {
    for (const effect of reduceTarget(this.state, event)) {
      this.execute(effect);
    }
  }

  private execute(effect: TargetEffect): void {
    switch (effect.type) {
      case "request/run":
        this.runWork(effect);
        return;
      case "request/refuse":
        this.refuse(effect.exchangeId, effect.tag);
        return;
      case "request/abandon":
        clearTimeout(this.timers.get(effect.exchangeId));
        this.timers.delete(effect.exchangeId);
        return;
      case "request/destroy":
        this.exchanges.destroy(effect.exchangeId);
        return;
      case "connections/destroy":
        this.cutConnections(effect.exceptExchangeId);
        return;
      case "reboot/wait":
        setTimeout(() => {
          this.dispatch({ ...effect, type: "reboot/elapsed" });
        }, this.rebootMs);
        return;
      case "reboot/answer":
        this.answerReboot(effect.exchangeId, effect.cameBack);
        return;
      default:
        assertNever(effect);
    }
  }

  private runWork(effect: TargetEffect & { type: "request/run" }): void {
    const { exchangeId, work } = effect;
    const behaviour = behaviourOf(effect.behaviour);
    const delayMs = behaviour.delayMs(effect.workMs);
    if (delayMs === null) {
      return;
    }
    const timer = setTimeout(() => {
      this.timers.delete(exchangeId);
      this.dispatch({ type: "request/ended", exchangeId });
      const response = this.exchanges.find(exchangeId);
      if (response?.socket != null && !this.silencedSockets.has(response.socket)) {
        behaviour.answer(response, work);
      }
    }, delayMs);
    this.timers.set(exchangeId, timer);
  }

  private refuse(exchangeId: ExchangeId, tag: string): void {
    const response = this.exchanges.find(exchangeId);
    response?.writeHead(HTTP_STATUS.SERVICE_UNAVAILABLE, {
      [WORK_HEADER.NOT_RUN]: NOT_RUN_FULL,
      [WORK_HEADER.TAG]: tag,
      "content-length": 0,
    });
    response?.end();
  }

  private cutConnections(exceptExchangeId: ExchangeId | null): void {
    this.timers.forEach((timer) => {
      clearTimeout(timer);
    });
    this.timers.clear();
    const exceptSocket = exceptExchangeId === null ? undefined : this.exchanges.socketOf(exceptExchangeId);
    this.destroySockets(exceptSocket);
  }

  private answerReboot(exchangeId: ExchangeId, cameBack: boolean): void {
    const response = this.exchanges.find(exchangeId);
    if (response !== undefined) {
      const status = cameBack ? HTTP_STATUS.OK : HTTP_STATUS.GATEWAY_TIMEOUT;
      this.sendJson(response, status, {});
    }
  }
}
