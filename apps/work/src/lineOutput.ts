import { write } from "node:fs";

const STANDARD_OUTPUT = 1;

/** Where the bytes of the log go. */
export abstract class LineOutput {
  /**
   * Writes without blocking.
   *
   * @param bytes - Whole lines.
   * @param done - Called once all is written, or nothing more can be.
   */
  abstract write(bytes: Buffer, done: (failed: boolean) => void): void;
}

/** Standard output of the process, even where it is a pipe that nobody reads. */
export class StandardOutput extends LineOutput {
  override write(bytes: Buffer, done: (failed: boolean) => void): void {
    write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, (error, written) => {
      if (error === null && written < bytes.length) {
        this.write(bytes.subarray(written), done);
        return;
      }
      done(error !== null);
    });
  }
}
