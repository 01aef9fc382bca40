import { assertNever } from "@heatherferry/common";
import { HTTP_STATUS } from "../http/constants.js";
import type { PlatformAnswer, StoredRow } from "./types.js";

/** Answer in its HTTP encoding. */
export interface EncodedAnswer {
  readonly statusCode: number;
  readonly body: string | Uint8Array;
}

/** Caches the JSON of rows: committed rows are immutable, and many clients read the same rows. */
const encodedRows = new WeakMap<StoredRow, string>();

const encodeRow = (row: StoredRow): string => {
  const cached = encodedRows.get(row);
  if (cached !== undefined) {
    return cached;
  }
  const encoded = JSON.stringify(row);
  encodedRows.set(row, encoded);
  return encoded;
};

const encodeRows = (rows: readonly StoredRow[]): string => `[${rows.map(encodeRow).join(",")}]`;

const json = (statusCode: number, content: unknown): EncodedAnswer => ({
  statusCode,
  body: JSON.stringify(content),
});

/** Encodes an answer as HTTP status and body. */
export const encodeAnswer = (answer: PlatformAnswer): EncodedAnswer => {
  switch (answer.type) {
    case "rowsRead": {
      const { upToVersion, tableTimeMs } = answer;
      const rows = encodeRows(answer.rows);
      const body = `{"rows":${rows},"upToVersion":${upToVersion},"tableTimeMs":${tableTimeMs}}`;
      return { statusCode: HTTP_STATUS.OK, body };
    }
    case "committed":
      return json(HTTP_STATUS.OK, { version: answer.version });
    case "conflicted":
      return { statusCode: HTTP_STATUS.CONFLICT, body: `{"rows":${encodeRows(answer.rows)}}` };
    case "hostsListed":
      return json(HTTP_STATUS.OK, { hosts: answer.hosts });
    case "hostRebooted":
    case "objectStored":
      return json(HTTP_STATUS.OK, {});
    case "hostStayedDown":
      return json(HTTP_STATUS.GATEWAY_TIMEOUT, { error: "The host did not come back" });
    case "hostUnknown":
      return json(HTTP_STATUS.NOT_FOUND, { error: "No host of that id" });
    case "objectRead":
      return { statusCode: HTTP_STATUS.OK, body: answer.bytes };
    case "objectUnknown":
      return json(HTTP_STATUS.NOT_FOUND, { error: "No object of that key" });
    default:
      return assertNever(answer);
  }
};
