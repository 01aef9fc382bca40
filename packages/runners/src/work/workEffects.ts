import { messageOf, type JsonLogger } from "@heatherferry/common";
import { echoedTarget, type Effect } from "@heatherferry/core";
import type { ExitHandler } from "../daemon/gracefulExit.js";
import { EffectRunner, EventLoop } from "../loop/eventLoop.js";
import type { HostOrderAnswer, HostControl, WorkerLink } from "./workerLink.js";
import type { WorkFront } from "./workFront.js";
import type { WorkStore } from "./workStore.js";

/** The components of a node that serves submissions. */
export interface WorkParts {
  readonly log: JsonLogger;
  readonly loop: EventLoop;
  readonly store: WorkStore;
  readonly workers: WorkerLink;
  readonly hosts: HostControl;
  readonly front: WorkFront;
  readonly exitHandler: ExitHandler;
}

type EffectOf<Type extends Effect["type"]> = Extract<Effect, { type: Type }>;

/** Executes the effects of a node that serves submissions and reports the results as events. */
export class WorkEffects extends EffectRunner {
  constructor(private readonly parts: WorkParts) {
    super();
  }

  override run(effect: Effect): void {
    const { log, front, loop, exitHandler } = this.parts;
    switch (effect.type) {
      case "log/write":
        log(effect.level, effect.event, effect.fields, effect.lineClass);
        return;
      case "call/answer":
        front.answer(effect);
        return;
      case "node/readiness":
        front.setReady(effect.ready);
        return;
      case "node/closeFront":
        front.stopListening();
        return;
      case "node/exit":
        exitHandler.exit();
        return;
      case "clock/wake":
        setTimeout(() => {
          loop.tickClock();
        }, effect.delayMs);
        return;
      default:
        void this.runRemote(effect);
    }
  }

  private async runRemote(effect: Effect): Promise<void> {
    switch (effect.type) {
      case "store/scan":
        return this.scan(effect);
      case "store/feed":
        return this.feed(effect);
      case "store/commit":
        return this.commit(effect);
      case "store/lookUp":
        return this.lookUp(effect);
      case "worker/start":
        return this.start(effect);
      case "worker/stop":
        return this.stop(effect);
      case "worker/look":
        return this.poll(effect);
      case "worker/pace":
        return this.pace(effect);
      case "power/list":
        return this.listHosts();
      case "power/move":
        return this.sendHostOrder(effect, this.parts.hosts.move(effect));
      case "power/upkeep":
        return this.sendHostOrder(effect, this.parts.hosts.maintain(effect));
      default:
        this.parts.log("error", "effect.unsupported", { type: effect.type });
    }
  }

  private async scan({ scan }: EffectOf<"store/scan">): Promise<void> {
    const { store, loop } = this.parts;
    const sentAtMs = EventLoop.nowMs();
    try {
      const view = await store.scan(scan);
      loop.handle({ type: "store/scanned", scan, sentAtMs, ...view });
    } catch (error) {
      loop.handle({ type: "store/scanFailed", scan, reason: messageOf(error) });
    }
  }

  private async feed({ feed, after, waitMs, sentAtMs }: EffectOf<"store/feed">): Promise<void> {
    const { store, loop } = this.parts;
    try {
      const { historyLost, ...view } = await store.feed(feed, after, waitMs);
      if (historyLost) {
        const reason = "the store dropped its history";
        loop.handle({ type: "store/feedFailed", feed, sentAtMs, historyLost, reason });
      } else {
        loop.handle({ type: "store/feedAnswered", feed, sentAtMs, ...view });
      }
    } catch (error) {
      const reason = messageOf(error);
      loop.handle({ type: "store/feedFailed", feed, sentAtMs, historyLost: false, reason });
    }
  }

  private async commit(commit: EffectOf<"store/commit">): Promise<void> {
    const { store, loop } = this.parts;
    const sentAtMs = EventLoop.nowMs();
    const outcome = await store.commit(commit);
    const { commitId } = commit;
    loop.handle({ type: "store/commitSettled", commitId, sentAtMs, ...outcome });
  }

  private async lookUp({ callId, id }: EffectOf<"store/lookUp">): Promise<void> {
    const { store, loop } = this.parts;
    try {
      loop.handle({ type: "store/lookedUp", callId, ...(await store.lookUp(id)) });
    } catch (error) {
      loop.handle({ type: "store/lookUpFailed", callId, reason: messageOf(error) });
    }
  }

  private async start(order: EffectOf<"worker/start">): Promise<void> {
    const { workers, loop } = this.parts;
    const { item, run } = order;
    const answer = await workers.start(order);
    loop.handle({ type: "worker/startAnswered", ...echoedTarget(order), item, run, ...answer });
  }

  private async stop(order: EffectOf<"worker/stop">): Promise<void> {
    const { workers, loop } = this.parts;
    const { item, run } = order;
    const answer = await workers.stop(order);
    loop.handle({ type: "worker/stopAnswered", ...echoedTarget(order), item, run, ...answer });
  }

  private async poll(order: EffectOf<"worker/look">): Promise<void> {
    const { workers, loop } = this.parts;
    const sentAtMs = EventLoop.nowMs();
    const answer = await workers.poll(order);
    const target = echoedTarget(order);
    if (answer.type === "seen") {
      const { startWallMs, clockMs, running, ends, endsComplete } = answer;
      loop.handle({
        type: "worker/looked",
        ...target,
        sentAtMs,
        clockMs,
        reportedStartWallMs: startWallMs,
        running,
        ends,
        endsComplete,
      });
    } else {
      const { wrongIncarnation, reason } = answer;
      loop.handle({ type: "worker/lookFailed", ...target, wrongIncarnation, reason });
    }
  }

  private async pace(order: EffectOf<"worker/pace">): Promise<void> {
    const problem = await this.parts.workers.pace(order);
    if (problem !== null) {
      const { worker, item, run, percent } = order;
      this.parts.log("warn", "run.paceFailed", { worker, item, run, percent, problem });
      this.parts.loop.handle({ type: "worker/paceFailed", ...echoedTarget(order), item, run });
    }
  }

  private async listHosts(): Promise<void> {
    const { hosts, loop } = this.parts;
    const sentAtMs = EventLoop.nowMs();
    try {
      loop.handle({ type: "power/listed", sentAtMs, hosts: await hosts.list() });
    } catch (error) {
      loop.handle({ type: "power/listFailed", reason: messageOf(error) });
    }
  }

  private async sendHostOrder(
    { order, host }: EffectOf<"power/move" | "power/upkeep">,
    answer: Promise<HostOrderAnswer>,
  ): Promise<void> {
    this.parts.loop.handle({ type: "power/orderAnswered", order, host, ...(await answer) });
  }
}
