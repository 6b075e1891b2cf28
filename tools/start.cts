import { runProgram } from "./program.cjs";

// This file is CommonJS: Node's loader of ES modules takes longer than the program itself.
runProgram(__dirname);
