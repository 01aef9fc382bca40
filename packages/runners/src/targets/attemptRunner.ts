import type { AttemptId, RequestId } from "@heatherferry/common";
import { ATTEMPT_STAGE, OUTCOME, REFUSAL_KIND, type RequestsEffect } from "@heatherferry/core";
import type { CallerServer, RelayResult } from "../callers/callerServer.js";
import { StoredAnswers, type RelayableAnswer } from "../callers/storedAnswers.js";
import type { IncomingAnswer } from "../callers/types.js";
import type { EventLoop } from "../loop/eventLoop.js";
import type { TargetCallResult, TargetLink } from "./targetLink.js";

type EffectOf<Type extends RequestsEffect["type"]> = Extract<RequestsEffect, { type: Type }>;

/** Sends attempts to targets and relays their answers to callers. */
export class AttemptRunner {
  private readonly answers = new Map<AttemptId, IncomingAnswer>();
  private readonly storedAnswers = new StoredAnswers();
  private readonly aborted = new Set<AttemptId>();
  /** Addresses of the attempts whose answer has not begun. */
  private readonly addresses = new Map<AttemptId, string>();

  constructor(
    private readonly callers: CallerServer,
    private readonly targets: TargetLink,
    private readonly loop: EventLoop,
  ) {}

  /** Sends an attempt to its target. */
  dispatch(effect: EffectOf<"attempt/dispatch">): void {
    const request = this.callers.outgoing(effect.requestId);
    if (request === null) {
      this.fail(effect, { stage: ATTEMPT_STAGE.NOT_SENT, silent: false, reason: "caller gone" });
      return;
    }
    this.addresses.set(effect.attemptId, effect.address);
    void this.targets.call({ ...effect, request }).then((result) => {
      this.addresses.delete(effect.attemptId);
      this.onResult(effect, result);
    });
  }

  /** Aborts an attempt. */
  abort(effect: EffectOf<"attempt/abort">): void {
    const address = this.addresses.get(effect.attemptId);
    if (effect.silent && address !== undefined) {
      this.targets.retire(address);
    }
    const answer = this.answers.get(effect.attemptId);
    this.answers.delete(effect.attemptId);
    this.aborted.add(effect.attemptId);
    this.targets.abort(effect.attemptId);
    if (answer !== undefined) {
      answer.body.once("error", () => undefined);
      answer.body.destroy();
      this.fail(effect, { stage: ATTEMPT_STAGE.ANSWERING, silent: false, reason: "stopped" });
    }
  }

  /** Relays an attempt's answer to the caller. */
  async relay(effect: EffectOf<"caller/relay">): Promise<void> {
    const answer = this.answers.get(effect.attemptId);
    this.answers.delete(effect.attemptId);
    if (answer === undefined) {
      return;
    }
    if (effect.keepAs !== null) {
      await this.storeAndRelay(effect, effect.keepAs, answer);
      return;
    }
    const end = await this.callers.relay(effect.requestId, answer);
    this.onRelayed(effect, end);
  }

  /** Sends a stored answer to the caller of a duplicate request. */
  async replay({ requestId, keptAs }: EffectOf<"caller/replayKept">): Promise<void> {
    const answer = this.storedAnswers.get(keptAs);
    if (answer === null) {
      const kind = REFUSAL_KIND.ANSWER_NOT_KEPT;
      this.callers.refuse(requestId, { outcome: OUTCOME.UNKNOWN, kind, retryAfterMs: null });
      return;
    }
    await this.callers.relay(requestId, answer);
  }

  /** Removes a stored answer. */
  removeStored({ keptAs }: EffectOf<"caller/forgetKept">): void {
    this.storedAnswers.remove(keptAs);
  }

  /** Stores the answer before relaying it, because the caller may disconnect meanwhile. */
  private async storeAndRelay(
    effect: EffectOf<"caller/relay">,
    keepAs: string,
    answer: IncomingAnswer,
  ): Promise<void> {
    let relayable: RelayableAnswer;
    try {
      relayable = await this.storedAnswers.store(keepAs, answer);
    } catch {
      this.onRelayed(effect, "answerBrokeOff");
      return;
    }
    for (const keptAs of relayable.isStored ? relayable.evictedKeys : [keepAs]) {
      this.loop.handle({ type: "answer/notKept", keptAs });
    }
    const end = await this.callers.relay(effect.requestId, relayable.answer);
    this.onRelayed(effect, relayable.isStored ? "whole" : end);
  }

  private onResult(effect: EffectOf<"attempt/dispatch">, result: TargetCallResult): void {
    if (result.type === "failed") {
      if (result.failure.silent) {
        this.targets.retire(effect.address);
      }
      this.fail(effect, result.failure);
      return;
    }
    this.answers.set(effect.attemptId, result.answer);
    // The body may fail before it is read; relaying it reports the error. Without a listener, the
    // error event would end the process.
    result.answer.body.once("error", () => undefined);
    this.loop.handle({
      type: "attempt/answerBegan",
      requestId: effect.requestId,
      attemptId: effect.attemptId,
      statusCode: result.answer.statusCode,
      replayable: this.isReplayable(effect.requestId),
    });
  }

  private onRelayed(effect: EffectOf<"caller/relay">, end: RelayResult): void {
    const { requestId, attemptId, failed } = effect;
    if (end === "whole") {
      this.loop.handle({ type: "attempt/completed", requestId, attemptId, failed });
      return;
    }
    this.targets.abort(attemptId);
    if (end === "callerGone") {
      this.aborted.add(attemptId);
    }
    this.fail(effect, { stage: ATTEMPT_STAGE.ANSWERING, silent: false, reason: end });
  }

  private fail(
    effect: { readonly requestId: RequestId; readonly attemptId: AttemptId },
    failure: { stage: "notSent" | "sent" | "answering"; silent: boolean; reason: string },
  ): void {
    const { requestId, attemptId } = effect;
    this.loop.handle({
      type: "attempt/failed",
      requestId,
      attemptId,
      ...failure,
      aborted: this.aborted.delete(attemptId),
      replayable: this.isReplayable(requestId),
    });
  }

  private isReplayable(requestId: RequestId): boolean {
    return this.callers.outgoing(requestId)?.body.replayable ?? false;
  }
}
