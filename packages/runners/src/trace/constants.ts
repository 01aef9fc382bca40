export const TRACE = {
  FORMAT: "heatherferry-trace/1",
  DEFAULT_MAX_BYTES: 16_777_216,
} as const;
