import { createHmac, randomBytes } from "node:crypto";
import type { Event, NodeIdentity } from "@heatherferry/core";
import { EventObserver } from "../loop/eventLoop.js";
import { TRACE } from "./constants.js";
import type { TraceHeader } from "./types.js";

const SALT_BYTES = 32;
const HASH = /\b[0-9a-f]{64}\b/g;

/**
 * Records the node's events from its start as JSON lines, up to a size limit, for a replay. Replaces
 * hashes of keys with keyed hashes that are consistent within one trace.
 */
export class TraceRecorder extends EventObserver {
  private readonly lines: string[] = [];
  private readonly salt = randomBytes(SALT_BYTES);
  private readonly replacements = new Map<string, string>();
  private bytes = 0;
  /** Whether the size limit was reached, so that later events are missing. */
  truncated = false;

  /**
   * @param identity - Identity of the node.
   * @param seed - Seed of its random number generator.
   * @param startedAtMs - Time on its monotonic clock when its state was created.
   * @param maxBytes - Size limit of the recorded events.
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
    const line = this.replaceHashes(JSON.stringify(event));
    if (this.bytes + line.length > this.maxBytes) {
      this.truncated = true;
      return;
    }
    this.bytes += line.length;
    this.lines.push(line);
  }

  /** Returns the trace recorded so far. */
  text(): string {
    return `${this.lines.join("\n")}\n`;
  }

  private replaceHashes(line: string): string {
    return line.replace(HASH, (hash) => this.replacementOf(hash));
  }

  private replacementOf(hash: string): string {
    const existing = this.replacements.get(hash);
    if (existing !== undefined) {
      return existing;
    }
    const created = createHmac("sha256", this.salt).update(hash).digest("hex");
    this.replacements.set(hash, created);
    return created;
  }
}
