/**
 * What all bundles have in common.
 *
 * @module
 */
import { fileURLToPath } from "node:url";

/** Some bundled packages still call `require`, which an ES module has to create for itself. */
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

/** Loads only the parts of the HTTP client that servers use. */
export const SLIM_HTTP_CLIENT = {
  undici: fileURLToPath(new URL("http_client.cjs", import.meta.url)),
};
