import { writeFileSync } from "node:fs";
import { configurationPageFile, renderConfigurationPage } from "./configurationPage.js";

writeFileSync(configurationPageFile, renderConfigurationPage());
