export * from "./rows/decodeRows.js";
export * from "./rows/rowSchemas.js";
