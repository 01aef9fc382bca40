import { StoreStandIn } from "../work/storeStandIn.js";
import type { Reply } from "../work/jsonServer.js";

interface Located {
  readonly part?: string;
}

interface PartedTransaction {
  readonly expectedRev?: readonly Located[];
  readonly write?: readonly Located[];
  readonly remove?: readonly Located[];
}

const partOf = ({ expectedRev, write, remove }: PartedTransaction): string =>
  (expectedRev?.[0] ?? write?.[0] ?? remove?.[0])?.part ?? "";

const pause = async (forMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, forMs);
  });

/** Store whose transactions of one part take their time, one after another. */
export class PacedStore extends StoreStandIn {
  /** Whether it leaves all calls without an answer and carries out none. */
  isSilent = false;
  private readonly partFreeAtMs = new Map<string, number>();

  /** @param commitMs - Time that a transaction takes. */
  constructor(private readonly commitMs: number) {
    super();
  }

  protected override async reply(method: string, url: URL, body: unknown): Promise<Reply> {
    if (this.isSilent) {
      await this.untilHeard();
      return { status: 503, lost: true };
    }
    if (url.pathname === "/api/rows-tx") {
      await this.waitForTurn(partOf(body as PartedTransaction));
    }
    return super.reply(method, url, body);
  }

  private async untilHeard(): Promise<void> {
    while (this.isSilent) {
      await pause(50);
    }
  }

  private async waitForTurn(part: string): Promise<void> {
    const nowMs = performance.now();
    const endsAtMs = Math.max(nowMs, this.partFreeAtMs.get(part) ?? 0) + this.commitMs;
    this.partFreeAtMs.set(part, endsAtMs);
    await pause(endsAtMs - nowMs);
  }
}
