export { type Clock, ManualClock, SystemClock } from "./core/clock.js";
export { ChannelError, errorMessages, FigwharfError, SettingsError } from "./core/errors.js";
export { RandomSource, SeededRandom } from "./core/random.js";
export { combineVerdicts, Verdict } from "./core/verdict.js";
