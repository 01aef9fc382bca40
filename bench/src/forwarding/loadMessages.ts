/** Order to a load worker. */
export type LoadOrder =
  | { readonly type: "keepBusy"; readonly forMs: number }
  | { readonly type: "sendAtRate"; readonly perSecond: number; readonly forMs: number };

/** What came of an order. */
export interface LoadReport {
  readonly answered: number;
  readonly failures: number;
  /** Latencies in microseconds, as an encoded histogram. */
  readonly latencies: string;
}

/** What a load worker is given at its start. */
export interface LoadWorkerData {
  readonly origin: string;
  readonly path: string;
  readonly headers: Record<string, string>;
}
