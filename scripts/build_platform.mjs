/**
 * Bundles the node program, which runs on the platform, into `target`.
 *
 * @module
 */
import * as esbuild from "esbuild";
import { OPTIONS, SLIM_HTTP_CLIENT } from "./bundling.mjs";

await esbuild.build({
  ...OPTIONS,
  outdir: "target",
  alias: SLIM_HTTP_CLIENT,
  entryPoints: { "jackdawlink-node": "platform/src/main.ts" },
});
