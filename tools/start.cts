import { runProgram } from "./program.cjs";

// CommonJS, because Node's ES module loader takes longer than the program itself.
runProgram(__dirname);
