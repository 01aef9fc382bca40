import { EventUrgency } from "../loop/eventUrgency.js";
import type { UntimedEvent } from "../loop/eventLoop.js";

const ANSWERS: readonly UntimedEvent["type"][] = [
  "worker/looked",
  "worker/lookFailed",
  "worker/startAnswered",
  "worker/stopAnswered",
  "worker/paceFailed",
];

/**
 * Answers of workers may wait, in their order: there are a thousand a second, and each order waits
 * for a write of the owner, whose answer would stand behind them.
 */
export class WorkersWait extends EventUrgency {
  override mayWait({ type }: UntimedEvent): boolean {
    return ANSWERS.includes(type);
  }
}
