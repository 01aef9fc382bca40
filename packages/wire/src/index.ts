export { PeerService } from "./gen/heatherferry/peers/v1/peers_pb.js";
export * from "./peers/forwardCodec.js";
export * from "./peers/messageCodec.js";
export * from "./peers/types.js";
export * from "./peers/viewCodec.js";
export * from "./rows/decodeRows.js";
export * from "./rows/rowSchemas.js";
export * from "./work/workRows.js";
