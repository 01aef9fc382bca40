import type { Brand } from "@heatherferry/common";

/** One request that is being answered; unique within a server. */
export type ExchangeId = Brand<number, "ExchangeId">;
