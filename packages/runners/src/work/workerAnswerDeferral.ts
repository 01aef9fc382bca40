import { DeferralPolicy } from "../loop/deferralPolicy.js";
import type { UntimedEvent } from "../loop/eventLoop.js";

const WORKER_ANSWERS: readonly UntimedEvent["type"][] = [
  "worker/looked",
  "worker/lookFailed",
  "worker/startAnswered",
  "worker/stopAnswered",
  "worker/paceFailed",
];

/**
 * Defers answers of workers, in their order. There are a thousand of them a second, and every order
 * waits for a commit of the owner, whose answer would otherwise be queued behind them.
 */
export class WorkerAnswerDeferral extends DeferralPolicy {
  override mayDefer({ type }: UntimedEvent): boolean {
    return WORKER_ANSWERS.includes(type);
  }
}
