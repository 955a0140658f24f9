/**
 * Bundles each program into one file below `dist`, so that a process loads only what it uses.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import * as esbuild from "esbuild";

/** Programs that run all the time beside others; they load only the parts of the HTTP client that they use. */
const SERVERS = {
  "jackdawlink-entry": "packages/entry/src/main.ts",
  "jackdawlink-steward": "packages/steward/src/main.ts",
};
const TOOLS = {
  "jackdawlink": "packages/cli/src/main.ts",
  "jackdawlink-bench": "packages/bench/src/main.ts",
  "jackdawlink-quickstart": "packages/bench/src/quickstart_main.ts",
  "stand-in-platform": "packages/testing/src/platform_main.ts",
  "stand-in-backend-server": "packages/testing/src/backend_server_main.ts",
  "fault-proxy": "packages/testing/src/fault_proxy_main.ts",
};

/** Some bundled packages still call `require`, which an ES module has to create for itself. */
const REQUIRE_BANNER =
  'import { createRequire as createRequireForBundle } from "node:module"; const require = createRequireForBundle(import.meta.url);';

const OPTIONS = {
  outdir: "dist",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  sourcemap: "linked",
  banner: { js: REQUIRE_BANNER },
  external: ["msgpackr-extract", "bufferutil", "utf-8-validate"],
  logLevel: "warning",
};

await esbuild.build({ ...OPTIONS, entryPoints: TOOLS });
await esbuild.build({
  ...OPTIONS,
  entryPoints: SERVERS,
  alias: { undici: fileURLToPath(new URL("http_client.cjs", import.meta.url)) },
});
