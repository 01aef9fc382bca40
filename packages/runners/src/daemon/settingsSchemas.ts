import { z } from "zod";

/** Schemas of the settings that all daemons share. */
export const SETTINGS = {
  NODE: z.strictObject({ id: z.string().min(1), availability_zone: z.string().min(1) }),
  LISTENER: z.strictObject({ host: z.string().min(1), port: z.int().min(0).max(65_535) }),
  PLATFORM: z.strictObject({ origin: z.url({ protocol: /^https?$/ }) }),
  LOG: z.strictObject({ level: z.enum(["debug", "info", "warn", "error"]) }),
} as const;
