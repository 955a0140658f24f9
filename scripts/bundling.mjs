/**
 * The esbuild options that all bundles share.
 *
 * @module
 */
import { fileURLToPath } from "node:url";

/** Defines `require`, which some bundled packages call and ES modules lack. */
const REQUIRE_BANNER =
  'import { createRequire as createRequireForBundle } from "node:module"; const require = createRequireForBundle(import.meta.url);';

export const OPTIONS = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  sourcemap: "linked",
  banner: { js: REQUIRE_BANNER },
  external: ["msgpackr-extract", "bufferutil", "utf-8-validate"],
  logLevel: "warning",
};

/** The esbuild alias that replaces undici by the parts of it that servers use. */
export const SLIM_HTTP_CLIENT = {
  undici: fileURLToPath(new URL("http_client.cjs", import.meta.url)),
};
