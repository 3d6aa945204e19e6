// Tests that the unmodified npm package `openai` works with an entry. Usage: openai_test.mjs ADDRESS KEY
import assert from "node:assert";
import OpenAI from "openai";

const [address, key] = process.argv.slice(2);
const client = new OpenAI({ baseURL: `http://${address}/v1`, apiKey: key, maxRetries: 0 });
const messages = [{ role: "user", content: "tender 7" }];

const models = await client.models.list();
assert.deepStrictEqual(models.data.map((model) => model.id), ["bid"]);

const whole = await client.chat.completions.create({ model: "bid", messages, max_tokens: 3 });
assert.strictEqual(whole.choices[0].message.content, "1:tender 7 2:tender 7 3:tender 7 ");

let text = "";
const stream = await client.chat.completions.create(
    { model: "bid", messages, max_tokens: 3, stream: true });
for await (const chunk of stream) {
    text += chunk.choices[0].delta.content ?? "";
}
assert.strictEqual(text, "1:tender 7 2:tender 7 3:tender 7 ");

const completion = await client.completions.create(
    { model: "bid", prompt: "letter", max_tokens: 2 });
assert.strictEqual(completion.choices[0].text, "1:letter 2:letter ");

await assert.rejects(async () => client.chat.completions.create({ model: "none", messages }),
    (error) => error.status === 404 && error.code === "not_found"
        && error.headers["seamarch-outcome"] === "not-run");
const stranger = new OpenAI({ baseURL: `http://${address}/v1`, apiKey: "wrong", maxRetries: 0 });
await assert.rejects(async () => stranger.models.list(), (error) => error.status === 401);
console.log("openai: all as expected");
