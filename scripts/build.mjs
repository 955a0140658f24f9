/**
 * Bundles each program into one file below `dist`, so that a process loads only what it uses.
 *
 * @module
 */
import * as esbuild from "esbuild";
import { OPTIONS, SLIM_HTTP_CLIENT } from "./bundling.mjs";

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

await esbuild.build({ ...OPTIONS, outdir: "dist", entryPoints: TOOLS });
await esbuild.build({
  ...OPTIONS,
  outdir: "dist",
  entryPoints: SERVERS,
  alias: SLIM_HTTP_CLIENT,
});
