/**
 * Bundles each program into a single file in `dist`, so that a process loads only the code it uses.
 *
 * @module
 */
import * as esbuild from "esbuild";
import { OPTIONS, SLIM_HTTP_CLIENT } from "./bundling.mjs";

/**
 * Long-running programs that share a machine with others; they are bundled with the slim HTTP
 * client.
 */
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
