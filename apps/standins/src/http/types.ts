import type { Brand } from "@heatherferry/common";

/** Identifies a request and its response; unique within a server. */
export type ExchangeId = Brand<number, "ExchangeId">;
