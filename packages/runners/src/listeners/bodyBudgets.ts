import { ByteBudget } from "@heatherferry/coordination";

/** Memory for the bodies of all requests of a process. */
export class BodyBudgets {
  /** Bodies that are being read. Slow clients can fill this one only. */
  readonly read: ByteBudget;
  /** Bodies of requests that wait for their answers. */
  readonly open: ByteBudget;

  /**
   * @param bytes - Size of each budget.
   */
  constructor(bytes: number) {
    this.read = new ByteBudget(bytes);
    this.open = new ByteBudget(bytes);
  }

  /** Bytes that are reserved in both. */
  get reservedBytes(): number {
    return this.read.reservedBytes + this.open.reservedBytes;
  }
}
