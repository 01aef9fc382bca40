import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { entryHostId, incarnation } from "@heatherferry/common";
import type { PresentedTicket, Ticket } from "./types.js";

const SECRET_BYTES = 32;
const FIELDS = 4;

const encodeField = (field: string): string => encodeURIComponent(field).replaceAll(".", "%2E");

const decodeField = (field: string): string | null => {
  try {
    return decodeURIComponent(field);
  } catch {
    return null;
  }
};

const wholeNumber = (text: string): number | null => {
  const value = Number(text);
  return /^\d{1,16}$/.test(text) && Number.isSafeInteger(value) ? value : null;
};

const readFields = (fields: readonly string[]): Ticket | null => {
  const [host = "", life = "", sequenceText = "", expiryText = ""] = fields;
  const sequence = wholeNumber(sequenceText);
  const expiresAtMs = wholeNumber(expiryText);
  const issuer = decodeField(host);
  const issuerLife = decodeField(life);
  if (sequence === null || expiresAtMs === null || issuer === null || issuerLife === null) {
    return null;
  }
  return {
    entryHostId: entryHostId(issuer),
    incarnation: incarnation(issuerLife),
    sequence,
    expiresAtMs,
  };
};

/** Signs tickets with a secret that dies with the process: none outlives its issuer. */
export class TicketSigner {
  private readonly secret = randomBytes(SECRET_BYTES);

  /**
   * @param ticket - A ticket of this process.
   * @returns Its text for the caller.
   */
  sign(ticket: Ticket): string {
    const { entryHostId: host, incarnation, sequence, expiresAtMs } = ticket;
    const expiry = String(Math.ceil(expiresAtMs));
    const text = [encodeField(host), encodeField(incarnation), String(sequence), expiry].join(".");
    return `${text}.${this.signatureOf(text)}`;
  }

  /**
   * @param text - What a caller presents.
   * @returns The ticket, or null when it is not one.
   */
  read(text: string): PresentedTicket | null {
    const fields = text.split(".");
    const signature = fields.pop() ?? "";
    const ticket = fields.length === FIELDS ? readFields(fields) : null;
    if (ticket === null) {
      return null;
    }
    return { ...ticket, genuine: this.isGenuine(fields.join("."), signature) };
  }

  private signatureOf(text: string): string {
    return createHmac("sha256", this.secret).update(text).digest("base64url");
  }

  private isGenuine(text: string, signature: string): boolean {
    const expected = Buffer.from(this.signatureOf(text));
    const given = Buffer.from(signature);
    return expected.length === given.length && timingSafeEqual(expected, given);
  }
}
