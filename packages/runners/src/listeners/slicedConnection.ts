import { GatedConnection } from "./gatedConnection.js";

/** Bytes of a connection that are handled in one turn. */
const SLICE_BYTES = 2_048;

/**
 * A connection that a server reads in small slices, in turns with others. For protocols in which a
 * few bytes open a call: one read of a socket may hold thousands, which all take memory before the
 * first can be refused.
 */
export class SlicedConnection extends GatedConnection {
  override takeTurn(): void {
    if (!this.destroyed && this.readableLength === 0) {
      this.passPart((bytes) => Math.min(bytes.length, SLICE_BYTES));
      this.received();
    }
  }

  protected override received(): void {
    if (this.destroyed) {
      return;
    }
    if (this.socket.readableLength > 0) {
      this.turns.add(this);
    } else {
      this.checkEnd();
    }
  }
}
