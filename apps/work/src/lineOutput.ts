import { write } from "node:fs";

const STDOUT_FD = 1;

/** Destination of the bytes of the log. */
export abstract class LineOutput {
  /**
   * Writes without blocking.
   *
   * @param bytes - Whole lines.
   * @param done - Called once all bytes are written or the write has failed.
   */
  abstract write(bytes: Buffer, done: (failed: boolean) => void): void;
}

/** Writes to standard output without blocking, even to a pipe that nobody reads. */
export class StandardOutput extends LineOutput {
  override write(bytes: Buffer, done: (failed: boolean) => void): void {
    write(STDOUT_FD, bytes, 0, bytes.length, null, (error, written) => {
      if (error === null && written < bytes.length) {
        this.write(bytes.subarray(written), done);
        return;
      }
      done(error !== null);
    });
  }
}
