/** Each package may import only from the packages further in; the list runs from inner to outer. */
const LAYERS = [
  { name: "schema", mayImport: [] },
  { name: "policy", mayImport: ["schema"] },
  { name: "ports", mayImport: ["schema"] },
  { name: "adapters", mayImport: ["schema", "policy", "ports"] },
  { name: "scheduler", mayImport: ["schema", "policy", "ports"] },
  { name: "entry", mayImport: ["schema", "policy", "ports", "adapters"] },
  { name: "steward", mayImport: ["schema", "policy", "ports", "adapters"] },
  { name: "cli", mayImport: ["schema", "policy", "ports", "adapters"] },
  { name: "testing", mayImport: ["schema", "policy", "ports", "adapters"] },
  { name: "bench", mayImport: ["schema", "policy", "ports", "adapters", "testing", "entry", "steward"] },
];

/** Tests may drive real programs through the testing package. */
const TEST_FILE = "(_test\\.ts$|/test/)";

module.exports = {
  forbidden: [
    {
      name: "no-circular",
      severity: "error",
      from: {},
      to: { circular: true },
    },
    {
      name: "platform-translates",
      comment: "The platform's protocols stand beside the decisions, and only its main program wires them.",
      severity: "error",
      from: { path: "^platform/" },
      to: { path: "^packages/", pathNot: "^packages/(schema|ports|adapters|scheduler)/" },
    },
    {
      name: "platform-names-stay",
      comment: "Nothing else knows the platform's names.",
      severity: "error",
      from: { path: "^packages/" },
      to: { path: "^platform/" },
    },
    ...LAYERS.map(({ name, mayImport }) => ({
      name: `layer-${name}`,
      severity: "error",
      from: { path: `^packages/${name}/`, pathNot: TEST_FILE },
      to: { path: "^packages/", pathNot: `^packages/(${[name, ...mayImport].join("|")})/` },
    })),
  ],
  options: {
    doNotFollow: { path: "node_modules" },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: "tsconfig.json" },
    enhancedResolveOptions: { exportsFields: ["exports"], conditionNames: ["import", "node"] },
  },
};
