import { Pool, type Dispatcher } from "undici";
import type { SoakWork, SubmissionRecord } from "./types.js";
import type { WorkNode } from "./workNode.js";

const CLIENT = {
  ATTEMPTS: 4,
  RETRY_DELAY_MS: 500,
  WAIT_MS: 3_000,
  CONNECTIONS: 16,
} as const;

/** Statuses after which the same call may be made again at another node; 0 is no answer. */
const RETRIED_STATUSES: readonly number[] = [0, 429, 502, 503, 504];

/** Host name of the queues. */
export const QUEUE_HOST = "queues.example";

/** Returns the key of a team. */
export const keyOf = (team: string): string => `key-of-${team}`;

/** Status and body of an answer; status 0 without one. */
export interface ClientAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

const NO_ANSWER: ClientAnswer = { status: 0, body: {} };

const bodyOf = ({ text, steps }: SoakWork): object => ({
  spec: JSON.stringify(text),
  phases: steps.map(({ count, needs, after, longRunning, maxPerWorker, estimateMs }) => ({
    count,
    ...needs,
    estimateMs,
    after,
    ...(longRunning ? { longRunning } : {}),
    ...(maxPerWorker === null ? {} : { antiAffinity: maxPerWorker }),
  })),
});

const pause = async (forMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, forMs);
  });

/** Makes callers' calls over connections that stay open until their process is gone. */
export class SoakClient {
  private readonly pools: readonly Pool[];
  private next = 0;

  constructor(private readonly nodes: readonly WorkNode[]) {
    this.pools = nodes.map(
      ({ callerAddress }) =>
        new Pool(`http://${callerAddress}`, { connections: CLIENT.CONNECTIONS }),
    );
  }

  /** Hands a submission in; returns the status of the last attempt. */
  async submit(submission: SubmissionRecord): Promise<number> {
    return (await this.call("POST", submission, JSON.stringify(bodyOf(submission.work)))).status;
  }

  async cancel(submission: SubmissionRecord): Promise<void> {
    await this.call("DELETE", submission, null);
  }

  async read(submission: SubmissionRecord): Promise<ClientAnswer> {
    return this.call("GET", submission, null);
  }

  /** Returns whether each node tells how much work waits in a queue, and so knows of an owner. */
  async areServing(queue: string, team: string): Promise<boolean> {
    const answers = await Promise.all(
      this.pools.map(async (pool) => this.attempt(pool, "GET", `/${queue}/`, team, null)),
    );
    return answers.every(({ status }) => status === 200);
  }

  async close(): Promise<void> {
    await Promise.all(this.pools.map(async (pool) => pool.destroy()));
  }

  private async call(
    method: Dispatcher.HttpMethod,
    { id, kind, team }: SubmissionRecord,
    body: string | null,
  ): Promise<ClientAnswer> {
    let answer = NO_ANSWER;
    for (let attempt = 1; attempt <= CLIENT.ATTEMPTS; attempt += 1) {
      answer = await this.attempt(this.nextPool(), method, `/${kind.name}/${id}`, team, body);
      if (!RETRIED_STATUSES.includes(answer.status)) {
        return answer;
      }
      await pause(CLIENT.RETRY_DELAY_MS);
    }
    return answer;
  }

  /** Returns the connections to the next node in turn that runs. */
  private nextPool(): Pool | undefined {
    const count = this.nodes.length;
    const inTurn = this.nodes.map((_, index) => (this.next + 1 + index) % count);
    this.next = inTurn.find((index) => this.nodes[index]?.isRunning === true) ?? this.next;
    return this.pools[this.next];
  }

  private async attempt(
    pool: Pool | undefined,
    method: Dispatcher.HttpMethod,
    path: string,
    team: string,
    body: string | null,
  ): Promise<ClientAnswer> {
    try {
      const answer = await pool?.request({
        method,
        path,
        body,
        headers: {
          host: QUEUE_HOST,
          authorization: `Bearer ${keyOf(team)}`,
          "deadline-ms": String(CLIENT.WAIT_MS),
          ...(body === null ? {} : { "content-type": "application/json" }),
        },
        headersTimeout: CLIENT.WAIT_MS,
      });
      const text = (await answer?.body.text()) ?? "";
      const parsed = text.startsWith("{") ? (JSON.parse(text) as ClientAnswer["body"]) : {};
      return { status: answer?.statusCode ?? 0, body: parsed };
    } catch {
      return NO_ANSWER;
    }
  }
}
