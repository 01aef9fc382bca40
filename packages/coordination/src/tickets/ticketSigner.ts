import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { entryHostId, incarnation } from "@heatherferry/common";
import type { PresentedTicket, Ticket } from "./types.js";

const SECRET_BYTES = 32;
const FIELD_COUNT = 4;

const encodeField = (field: string): string => encodeURIComponent(field).replaceAll(".", "%2E");

const decodeField = (field: string): string | null => {
  try {
    return decodeURIComponent(field);
  } catch {
    return null;
  }
};

const parseWholeNumber = (text: string): number | null => {
  const value = Number(text);
  return /^\d{1,16}$/.test(text) && Number.isSafeInteger(value) ? value : null;
};

const parseFields = (fields: readonly string[]): Ticket | null => {
  const [hostText = "", incarnationText = "", sequenceText = "", expiryText = ""] = fields;
  const sequence = parseWholeNumber(sequenceText);
  const expiresAtMs = parseWholeNumber(expiryText);
  const issuer = decodeField(hostText);
  const issuerIncarnation = decodeField(incarnationText);
  if (sequence === null || expiresAtMs === null || issuer === null || issuerIncarnation === null) {
    return null;
  }
  return {
    entryHostId: entryHostId(issuer),
    incarnation: incarnation(issuerIncarnation),
    sequence,
    expiresAtMs,
  };
};

/**
 * Signs tickets with a secret that exists only in this process, so that no ticket remains valid
 * after its issuer has ended.
 */
export class TicketSigner {
  private readonly secret = randomBytes(SECRET_BYTES);

  /**
   * @param ticket - A ticket issued by this process.
   * @returns The signed text for the caller.
   */
  sign(ticket: Ticket): string {
    const { entryHostId: host, incarnation, sequence, expiresAtMs } = ticket;
    const expiry = String(Math.ceil(expiresAtMs));
    const text = [encodeField(host), encodeField(incarnation), String(sequence), expiry].join(".");
    return `${text}.${this.signatureOf(text)}`;
  }

  /**
   * @param text - Text that a caller presents as a ticket.
   * @returns The ticket, or null when the text is malformed.
   */
  read(text: string): PresentedTicket | null {
    const fields = text.split(".");
    const signature = fields.pop() ?? "";
    const ticket = fields.length === FIELD_COUNT ? parseFields(fields) : null;
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
