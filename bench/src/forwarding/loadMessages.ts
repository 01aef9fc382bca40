/** Command that a load thread executes. */
export type LoadCommand =
  | { readonly type: "keepBusy"; readonly forMs: number }
  | { readonly type: "sendAtRate"; readonly perSecond: number; readonly forMs: number };

/** Result of a command. */
export interface LoadReport {
  readonly answered: number;
  /** Requests since the thread's start that were not answered with status 200. */
  readonly failures: number;
  /** Encoded histogram of the latencies, in microseconds. */
  readonly latencies: string;
}

/** Data that a load thread receives at its start. */
export interface LoadWorkerData {
  readonly origin: string;
  readonly path: string;
  readonly headers: Record<string, string>;
}
