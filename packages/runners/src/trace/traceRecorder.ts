import { createHmac, randomBytes } from "node:crypto";
import type { Event, NodeIdentity } from "@heatherferry/core";
import { EventObserver } from "../loop/eventLoop.js";
import { TRACE } from "./constants.js";
import type { TraceHeader } from "./types.js";

const SALT_BYTES = 32;
const HASH = /\b[0-9a-f]{64}\b/g;

/**
 * Keeps the node's events from its start on, as JSON lines within a bound, for a replay. Hashes
 * of keys are replaced by keyed hashes that are the same all through one trace.
 */
export class TraceRecorder extends EventObserver {
  private readonly lines: string[] = [];
  private readonly salt = randomBytes(SALT_BYTES);
  private readonly replaced = new Map<string, string>();
  private bytes = 0;
  /** The bound was reached: later events are not in the trace. */
  truncated = false;

  /**
   * @param identity - Who the node is.
   * @param seed - Seed of its random numbers.
   * @param startedAtMs - Its clock when its state was made.
   * @param maxBytes - Bound on the trace.
   */
  constructor(
    identity: NodeIdentity,
    seed: number,
    startedAtMs: number,
    private readonly maxBytes: number = TRACE.DEFAULT_MAX_BYTES,
  ) {
    super();
    const header: TraceHeader = { format: TRACE.FORMAT, identity, seed, startedAtMs };
    this.lines.push(JSON.stringify(header));
  }

  override observe(event: Event): void {
    if (this.truncated) {
      return;
    }
    const line = this.withoutHashes(JSON.stringify(event));
    if (this.bytes + line.length > this.maxBytes) {
      this.truncated = true;
      return;
    }
    this.bytes += line.length;
    this.lines.push(line);
  }

  /** @returns The trace so far. */
  text(): string {
    return `${this.lines.join("\n")}\n`;
  }

  private withoutHashes(line: string): string {
    return line.replace(HASH, (hash) => this.replacementOf(hash));
  }

  private replacementOf(hash: string): string {
    const known = this.replaced.get(hash);
    if (known !== undefined) {
      return known;
    }
    const made = createHmac("sha256", this.salt).update(hash).digest("hex");
    this.replaced.set(hash, made);
    return made;
  }
}
