/** A number of bytes that many holders share. Who finds no room gets none; nobody waits. */
export class ByteBudget {
  private reserved = 0;

  /**
   * @param capacityBytes - Most bytes that may be reserved at once.
   */
  constructor(readonly capacityBytes: number) {}

  /** Bytes that are reserved now. */
  get reservedBytes(): number {
    return this.reserved;
  }

  /**
   * Reserves bytes if there is room for all of them.
   *
   * @param bytes - Number of bytes.
   * @returns Whether the bytes were reserved.
   */
  reserve(bytes: number): boolean {
    if (this.reserved + bytes > this.capacityBytes) {
      return false;
    }
    this.reserved += bytes;
    return true;
  }

  /**
   * Returns reserved bytes.
   *
   * @param bytes - Number of bytes, at most as many as the holder reserved.
   */
  release(bytes: number): void {
    this.reserved -= bytes;
  }
}
