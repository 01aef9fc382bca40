import type { ServerResponse } from "node:http";
import { HTTP_STATUS } from "../../http/constants.js";
import { TARGET, TARGET_BEHAVIOUR } from "../constants.js";
import type { RequestedWork } from "../types.js";
import { TargetBehaviour } from "./targetBehaviour.js";

/** Sends the full answer at the end of the work. */
export class NormalBehaviour extends TargetBehaviour {
  override readonly name = TARGET_BEHAVIOUR.NORMAL;

  override answer(response: ServerResponse, work: RequestedWork): void {
    this.sendFullAnswer(response, work);
  }
}

/** Answers 500 without delay. */
export class FailingBehaviour extends TargetBehaviour {
  override readonly name = TARGET_BEHAVIOUR.FAILING;

  override delayMs(): number {
    return 0;
  }

  override answer(response: ServerResponse, work: RequestedWork): void {
    this.sendFullAnswer(response, work, HTTP_STATUS.INTERNAL_SERVER_ERROR);
  }
}

/** Works `TARGET.SLOW_FACTOR` times as long as requested, then answers. */
export class SlowBehaviour extends TargetBehaviour {
  override readonly name = TARGET_BEHAVIOUR.SLOW;

  override delayMs(workMs: number): number {
    return workMs * TARGET.SLOW_FACTOR;
  }

  override answer(response: ServerResponse, work: RequestedWork): void {
    this.sendFullAnswer(response, work);
  }
}

/** Never answers; the request occupies its slot until the caller disconnects. */
export class SilentBehaviour extends TargetBehaviour {
  override readonly name = TARGET_BEHAVIOUR.SILENT;

  override delayMs(): null {
    return null;
  }

  override answer(): void {
    // Never called, since `delayMs` returns null.
  }
}

/** Closes the connection normally after a body shorter than its `content-length`. */
export class TruncatingBehaviour extends TargetBehaviour {
  override readonly name = TARGET_BEHAVIOUR.TRUNCATING;

  override answer(response: ServerResponse, work: RequestedWork): void {
    this.sendHalfAnswer(response, work, () => response.socket?.destroy());
  }
}

/** Sends bytes that are not HTTP. */
export class InvalidHttpBehaviour extends TargetBehaviour {
  override readonly name = TARGET_BEHAVIOUR.INVALID_HTTP;

  override answer(response: ServerResponse): void {
    response.socket?.end(Buffer.from([0, 1, 2, 0xff, 0x0d, 0x0a, 0x7f, 0x0d, 0x0a]));
  }
}

/** Resets the TCP connection in the middle of the answer. */
export class ResettingBehaviour extends TargetBehaviour {
  override readonly name = TARGET_BEHAVIOUR.RESETTING;

  override answer(response: ServerResponse, work: RequestedWork): void {
    this.sendHalfAnswer(response, work, () => response.socket?.resetAndDestroy());
  }
}

/** Sends the full answer `TARGET.LATE_MS` after the end of the work. */
export class LateBehaviour extends TargetBehaviour {
  override readonly name = TARGET_BEHAVIOUR.LATE;

  override delayMs(workMs: number): number {
    return workMs + TARGET.LATE_MS;
  }

  override answer(response: ServerResponse, work: RequestedWork): void {
    this.sendFullAnswer(response, work);
  }
}
