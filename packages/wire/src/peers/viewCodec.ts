import { create } from "@bufbuild/protobuf";
import { rowKey, tableVersion, writeId } from "@heatherferry/common";
import type { PeerView, TableRange, TableRow } from "@heatherferry/core";
import {
  ReadViewRequestSchema,
  ReadViewResponseSchema,
  ViewRangeSchema,
  ViewRowSchema,
  type ReadViewRequest,
  type ReadViewResponse,
  type ViewRange,
  type ViewRow,
} from "../gen/heatherferry/peers/v1/peers_pb.js";
import { decodeRowBody } from "../rows/decodeRows.js";
import { fromInt64, toInt64 } from "./int64.js";

const encodeRange = ({ prefix, afterVersion }: TableRange): ViewRange =>
  create(ViewRangeSchema, { prefix, afterVersion: toInt64(afterVersion) });

const decodeRange = ({ prefix, afterVersion }: ViewRange): TableRange => ({
  prefix: rowKey(prefix),
  afterVersion: tableVersion(fromInt64(afterVersion)),
});

const encodeRow = ({ key, version, committedAtMs, writeIds, body }: TableRow): ViewRow =>
  create(ViewRowSchema, {
    key,
    version: toInt64(version),
    committedAtMs,
    writeIds: [...writeIds],
    bodyJson: JSON.stringify(body),
  });

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
};

const decodeRow = (row: ViewRow): TableRow | null => {
  const body = decodeRowBody(parseJson(row.bodyJson));
  return body === null
    ? null
    : {
        key: rowKey(row.key),
        version: tableVersion(fromInt64(row.version)),
        committedAtMs: row.committedAtMs,
        writeIds: row.writeIds.map(writeId),
        body,
      };
};

/** Encodes a request for ranges of the mirror of a peer. */
export const encodeViewRequest = (ranges: readonly TableRange[]): ReadViewRequest =>
  create(ReadViewRequestSchema, { ranges: ranges.map(encodeRange) });

/** Decodes the ranges that a peer requests. */
export const decodeViewRequest = (request: ReadViewRequest): readonly TableRange[] =>
  request.ranges.map(decodeRange);

/** Encodes ranges of the mirror with their rows. */
export const encodeView = (view: PeerView): ReadViewResponse =>
  create(ReadViewResponseSchema, {
    ranges: view.ranges.map(encodeRange),
    upToVersion: toInt64(view.upToVersion),
    viewAgeMs: view.viewAgeMs,
    rows: view.rows.map(encodeRow),
  });

/** Decodes ranges of the mirror of a peer. Rows that this build cannot read are omitted. */
export const decodeView = (response: ReadViewResponse): PeerView => ({
  ranges: response.ranges.map(decodeRange),
  rows: response.rows.map(decodeRow).filter((row) => row !== null),
  upToVersion: tableVersion(fromInt64(response.upToVersion)),
  viewAgeMs: response.viewAgeMs,
});
